package comfreyconfig

import "time"

// Timing holds the intervals, timeouts and fan-out of a Node. The zero value of
// each field selects its default. A revision is active at all processes within
// about SettlePeriod + 2·ExchangeInterval of its publication, and within
// 2·SettlePeriod + 2·ExchangeInterval if another one was published just before.
type Timing struct {
	// ExchangeInterval is the mean time between two digest exchanges with
	// random peers; 2 s by default.
	ExchangeInterval time.Duration
	// SettlePeriod is how long a revision read from the platform must remain
	// there before it becomes active; 3 s by default. It must exceed the time
	// in which a revision spreads to all processes, so that if two contents are
	// published under one number, the same one becomes active everywhere.
	SettlePeriod time.Duration
	// WatchTimeout is the maximum duration of a watch at the platform; 10 s by
	// default.
	WatchTimeout time.Duration
	// WatchesPerDataCentre is the mean number of open watches of the processes
	// of a data centre; 4 by default.
	WatchesPerDataCentre int
	// HostsInterval is the mean time between two reads of the host list by a
	// process that watches; 2 s by default.
	HostsInterval time.Duration
	// RetryInterval is the mean delay between the end of a watch call, failed or
	// not, and the next one of the same turn; 2 s by default.
	RetryInterval time.Duration
	// CallTimeout is the timeout of a call, in addition to WatchTimeout for a
	// watch; 2 s by default.
	CallTimeout time.Duration
	// FetchTimeout is the timeout of a fetch of files, whose duration depends on
	// their size and the link; 30 s by default. A fetch that fails ends sooner.
	FetchTimeout time.Duration
	// Fanout is the number of peers with which a process exchanges digests at
	// once when it starts and when it activates a revision; 4 by default.
	Fanout int
}

const (
	defaultExchange  = 2 * time.Second
	defaultSettle    = 3 * time.Second
	defaultWatchWait = 10 * time.Second
	defaultWatches   = 4
	defaultHosts     = 2 * time.Second
	defaultRetry     = 2 * time.Second
	defaultAnswer    = 2 * time.Second
	defaultFetch     = 30 * time.Second
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
	set(&t.HostsInterval, defaultHosts)
	set(&t.RetryInterval, defaultRetry)
	set(&t.CallTimeout, defaultAnswer)
	set(&t.FetchTimeout, defaultFetch)
	if t.WatchesPerDataCentre <= 0 {
		t.WatchesPerDataCentre = defaultWatches
	}
	if t.Fanout <= 0 {
		t.Fanout = defaultFanout
	}
	return t
}
