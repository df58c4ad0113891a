package comfreyconfig

import "time"

// Timing holds the periods of a Node. The zero value of each field selects its
// default. A revision is in force everywhere within about
// Settle + 2·Exchange of its publication, and within 2·Settle + 2·Exchange if
// another one was published just before.
type Timing struct {
	// ExchangeInterval is the mean time between two exchanges with random peers; 2 s
	// by default.
	ExchangeInterval time.Duration
	// SettlePeriod is how long a revision read from the platform must stay there
	// before it comes into force; 3 s by default. It must exceed the time in
	// which a revision spreads, so that of two contents published under one
	// number the same one comes into force everywhere.
	SettlePeriod time.Duration
	// WatchTimeout is how long a watch waits at the platform; 10 s by default.
	WatchTimeout time.Duration
	// WatchesPerDataCentre is how many watches wait at the platform on average for each
	// data centre; 4 by default.
	WatchesPerDataCentre int
	// RetryInterval is the mean time between two tries of a process whose turn it is
	// to watch and whose calls fail; 2 s by default.
	RetryInterval time.Duration
	// CallTimeout is how long an answer may take, besides WatchWait; 2 s by
	// default.
	CallTimeout time.Duration
	// Fanout is how many peers are told at once of a new revision, and asked
	// by a process that starts; 4 by default.
	Fanout int
}

const (
	defaultExchange  = 2 * time.Second
	defaultSettle    = 3 * time.Second
	defaultWatchWait = 10 * time.Second
	defaultWatches   = 4
	defaultRetry     = 2 * time.Second
	defaultAnswer    = 2 * time.Second
	defaultFanout    = 4
)

// withDefaults returns t with defaults in place of zeros.
func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.ExchangeInterval, defaultExchange)
	set(&t.SettlePeriod, defaultSettle)
	set(&t.WatchTimeout, defaultWatchWait)
	set(&t.RetryInterval, defaultRetry)
	set(&t.CallTimeout, defaultAnswer)
	if t.WatchesPerDataCentre <= 0 {
		t.WatchesPerDataCentre = defaultWatches
	}
	if t.Fanout <= 0 {
		t.Fanout = defaultFanout
	}
	return t
}
