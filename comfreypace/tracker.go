// Package comfreypace learns how fast replicas work from what their responses state.
// It makes no calls and reads no clock.
//
// It is built for this load: replicas share their machines with others. Some always
// work at twice the pace of the rest, and each is slowed down several times for some
// tenths of a second now and then. A single figure is out of date when it arrives, so
// a decision needs the usual pace of a replica, its pace now if that is known, and how
// slow replicas become.
package comfreypace

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

const (
	// maxSamples is how many samples are kept of a replica. The usual pace is their
	// median, and must not depend on one or two slow moments.
	maxSamples = 9
	// currentPeriod is how long a sample tells the pace of a replica now.
	currentPeriod = 300 * time.Millisecond
	// samePeriod is how far apart the times of a sample can be that arrives more than
	// once.
	samePeriod = 100 * time.Millisecond
	// retention is how long the samples of a replica are kept without new ones.
	retention = 30 * time.Second
	// maxRatios is how many samples the distribution of slow moments consists of, and
	// minRatios how many it needs to tell anything.
	maxRatios = 256
	minRatios = 32
	// slowQuantile is the part of all samples that are at most as slow as the pace in a
	// slow moment. The few beyond it may be single delayed steps.
	slowQuantile = 0.95
)

// Sample is what one response states of its replica's pace.
type Sample struct {
	Start comfreyreplica.Start
	// Pace is how long work takes, relative to usual for the service; above zero.
	Pace float64
	// At is when a process received the response, and IsDirect means that it was this
	// one.
	At       time.Time
	IsDirect bool
}

// isSame reports whether two samples of one replica tell the same.
func (s Sample) isSame(k Sample) bool {
	return s.Pace == k.Pace && s.At.Sub(k.At).Abs() < samePeriod
}

// Pace is what is known of the pace of a replica, relative to the usual pace of its
// service. Values are immutable.
type Pace struct {
	// Usual is the pace at most times, and Now the present one; 1 if unknown.
	Usual, Now float64
	// Slow is the pace of the replica in a slow moment.
	Slow float64
	// IsKnown is false if no sample of the replica is known.
	IsKnown bool
}

// Unknown is the pace of a replica whose service states none.
var Unknown = Pace{Usual: 1, Now: 1, Slow: 1}

// history holds the latest samples of one start of a replica, oldest first.
type history struct {
	start   comfreyreplica.Start
	samples []Sample
	usual   float64
}

// Tracker learns the paces of the replicas of one service. It is not safe for
// concurrent use.
type Tracker struct {
	replicas map[string]*history
	// ratios are the latest samples of all replicas, each relative to the usual pace
	// of its replica; next is the index of the oldest one.
	ratios []float64
	next   int
	// slowRatio and usual are derived from the samples; zero if they have to be
	// derived anew.
	slowRatio, usual float64
}

// NewTracker returns a tracker that knows no paces.
func NewTracker() *Tracker {
	return &Tracker{replicas: map[string]*history{}}
}

// Observe adds a sample, which may arrive late or more than once. It reports whether
// it is the newest one of its replica.
func (t *Tracker) Observe(s Sample) (isNewest bool) {
	if !(s.Pace > 0) {
		return false
	}
	h := t.replicas[s.Start.ID]
	switch {
	case h == nil || s.Start.StartMillis > h.start.StartMillis && h.start.StartMillis > 0:
		h = &history{start: s.Start}
		t.replicas[s.Start.ID] = h
	case s.Start.StartMillis > 0 && s.Start.StartMillis < h.start.StartMillis:
		return false
	}
	h.start.StartMillis = max(h.start.StartMillis, s.Start.StartMillis)
	if slices.ContainsFunc(h.samples, s.isSame) {
		return false
	}
	i, _ := slices.BinarySearchFunc(h.samples, s, func(a, b Sample) int { return a.At.Compare(b.At) })
	if i == 0 && len(h.samples) == maxSamples {
		return false
	}
	h.samples = slices.Insert(h.samples, i, s)
	if len(h.samples) > maxSamples {
		h.samples = slices.Delete(h.samples, 0, 1)
	}
	paces := make([]float64, len(h.samples))
	for i, k := range h.samples {
		paces[i] = k.Pace
	}
	h.usual = quantile(paces, 0.5)
	t.addRatio(s.Pace / h.usual)
	t.slowRatio, t.usual = 0, 0
	return s.At.Equal(h.samples[len(h.samples)-1].At)
}

func (t *Tracker) addRatio(r float64) {
	if len(t.ratios) < maxRatios {
		t.ratios = append(t.ratios, r)
		return
	}
	t.ratios[t.next] = r
	t.next = (t.next + 1) % maxRatios
}

// Pace returns what is known of the pace of a replica. One that is not known counts as
// an average one.
func (t *Tracker) Pace(now time.Time, id string) Pace {
	if t == nil || len(t.replicas) == 0 {
		return Unknown
	}
	t.derive()
	h, ok := t.replicas[id]
	if !ok {
		return Pace{Usual: t.usual, Now: t.usual, Slow: t.usual * t.slowRatio}
	}
	p := Pace{Usual: h.usual, Now: h.usual, Slow: h.usual * t.slowRatio, IsKnown: true}
	if s := h.samples[len(h.samples)-1]; now.Sub(s.At) < currentPeriod {
		p.Now = s.Pace
	}
	return p
}

// LastHeard returns when a process last received a response of a replica. It reports
// false if none is known.
func (t *Tracker) LastHeard(id string) (time.Time, bool) {
	if t == nil {
		return time.Time{}, false
	}
	h, ok := t.replicas[id]
	if !ok {
		return time.Time{}, false
	}
	return h.samples[len(h.samples)-1].At, true
}

// derive computes what follows from all samples, if there are new ones.
func (t *Tracker) derive() {
	if t.slowRatio > 0 {
		return
	}
	t.slowRatio = 1
	if len(t.ratios) >= minRatios {
		t.slowRatio = max(quantile(t.ratios, slowQuantile), 1)
	}
	usual := make([]float64, 0, len(t.replicas))
	for _, h := range t.replicas {
		usual = append(usual, h.usual)
	}
	t.usual = quantile(usual, 0.5)
}

// Latest returns the newest sample of each replica, if this process has received it
// and it is not older than an age, in no order. They are what other processes have to
// know.
func (t *Tracker) Latest(now time.Time, age time.Duration) []Sample {
	var l []Sample
	for _, h := range t.replicas {
		if s := h.samples[len(h.samples)-1]; s.IsDirect && now.Sub(s.At) < age {
			s.Start = h.start
			l = append(l, s)
		}
	}
	return l
}

// Expire drops what is known of replicas without recent samples. The caller calls it
// about once a second.
func (t *Tracker) Expire(now time.Time) {
	for id, h := range t.replicas {
		if now.Sub(h.samples[len(h.samples)-1].At) > retention {
			delete(t.replicas, id)
			t.slowRatio = 0
		}
	}
}

// quantile returns the value below which a part of the values lies, from 0 to 1. There
// must be a value.
func quantile(values []float64, part float64) float64 {
	l := slices.Sorted(slices.Values(values))
	return l[min(int(part*float64(len(l))), len(l)-1)]
}
