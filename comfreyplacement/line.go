package comfreyplacement

import "time"

const (
	// paceWeight is the weight of the newest observation in the pace of a line.
	paceWeight = 0.3
	// minReturn and maxReturn bound the time after which a rejected caller is
	// told to return.
	minReturn = 500 * time.Millisecond
	maxReturn = 5 * time.Second
)

// Line counts the requests of one service that wait for a place at a gateway,
// and expects how long the next one would wait. The zero value is an empty line.
// It is not safe for concurrent use.
//
// The load pattern that it answers: with every replica full, each request that
// joins makes those before it no faster and is itself late. It is told so at
// once, with the time at which a place is expected.
type Line struct {
	waiting int
	// pace is the mean time in which the line moves by one.
	pace time.Duration
}

// Enter notes that a request waits.
func (l *Line) Enter() {
	l.waiting++
}

// Leave notes that a request has stopped waiting after a time, because it was
// placed or gave up. With n requests in line, the line has moved by about n.
func (l *Line) Leave(waited time.Duration, placed bool) {
	n := l.waiting
	l.waiting--
	observed := waited / time.Duration(max(n, 1))
	if !placed {
		observed = max(waited, l.pace)
	}
	if l.pace == 0 {
		l.pace = observed
		return
	}
	l.pace += time.Duration(paceWeight * float64(observed-l.pace))
}

// Expected returns how long one more request is expected to wait. An empty line
// tells nothing: then it is zero.
func (l *Line) Expected() time.Duration {
	return time.Duration(l.waiting) * l.pace
}

// Return returns when a rejected caller should come back.
func (l *Line) Return() time.Duration {
	return min(max(time.Duration(l.waiting+1)*l.pace, minReturn), maxReturn)
}
