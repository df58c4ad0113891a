package comfreyplacement

import (
	"slices"
	"time"
)

const (
	// paceWeight is the weight of the newest observation in the pace of a line.
	paceWeight = 0.3
	// minReturn and maxReturn bound the time after which a rejected caller is
	// told to return.
	minReturn = 500 * time.Millisecond
	maxReturn = 5 * time.Second
)

// Queue counts the requests of one service that wait for a place at a gateway,
// and expects how long the next one would wait. The zero value is an empty line.
// It is not safe for concurrent use.
//
// The load pattern that it answers: with every replica full, each request that
// joins makes those before it no faster and is itself late. It is told so at
// once, with the time at which a place is expected.
type Queue struct {
	waiting []Waiter
	// pace is the mean time in which the line moves by one.
	pace time.Duration
}

// Waiter is a request in line.
type Waiter struct {
	ID string
	// Priority ranks the request; zero is the most urgent.
	Priority     int
	PromptTokens int
}

// Add notes that a request waits.
func (l *Queue) Add(w Waiter) {
	l.waiting = append(l.waiting, w)
}

// Remove notes that a request has stopped waiting after a time, because it was
// placed or gave up. With n requests in line, the line has moved by about n.
func (l *Queue) Remove(id string, waited time.Duration, placed bool) {
	n := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(w Waiter) bool { return w.ID == id })
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

// HeadroomTokens returns the memory that a request leaves free for more urgent ones
// that wait. Urgency decides who gets a place; a generation that runs is not
// interrupted for it.
func (l *Queue) HeadroomTokens(priority int) int {
	reserve := 0
	for _, w := range l.waiting {
		if w.Priority < priority {
			reserve = max(reserve, w.PromptTokens)
		}
	}
	return reserve
}

// ExpectedWait returns how long one more request is expected to wait. An empty line
// tells nothing: then it is zero.
func (l *Queue) ExpectedWait() time.Duration {
	return time.Duration(len(l.waiting)) * l.pace
}

// RetryAfter returns when a rejected caller should come back.
func (l *Queue) RetryAfter() time.Duration {
	return min(max(time.Duration(len(l.waiting)+1)*l.pace, minReturn), maxReturn)
}
