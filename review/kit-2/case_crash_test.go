package review2

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["silent-crash"] = silentCrash
}

const (
	// deadlyPath is that of the request that crashes replicas.
	deadlyPath = "/lookup/deadly"
	// backAfter is how long a replica is down, and lapsesAfter how long its entry stands:
	// three intervals of heartbeatMs.
	backAfter   = 8 * time.Second
	lapsesAfter = 3600 * time.Millisecond
)

// fragile is a replica that one request crashes.
type fragile struct {
	*replica
	store *store
	// isDown means that nothing answers at its address.
	isDown atomic.Bool
	// down is closed at the crash.
	mu   sync.Mutex
	down chan struct{}
}

// crash takes the replica down, silently if its machine went dark. Its entry lapses, and it
// is back some seconds later.
func (f *fragile) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown.Swap(true) {
		return
	}
	close(f.down)
	f.env.logf(f.id, "crashes and is silent")
	time.AfterFunc(lapsesAfter, func() { f.store.remove("servers/" + f.id) })
	time.AfterFunc(backAfter, func() {
		f.mu.Lock()
		f.down = make(chan struct{})
		f.born = time.Now().UnixMilli()
		f.mu.Unlock()
		f.isDown.Store(false)
		f.store.put("servers/"+f.id, f.entry(6))
		f.env.logf(f.id, "is back")
	})
}

func (f *fragile) serve(w http.ResponseWriter, r *http.Request, id string) {
	if f.isDown.Load() {
		<-r.Context().Done() // A dark machine does not answer; its caller gives up.
		return
	}
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	x := f.beginRun(r, id)
	if r.URL.Path == deadlyPath {
		f.crash()
	}
	select {
	case <-time.After(60 * time.Millisecond):
		_, _ = w.Write([]byte("an answer"))
		f.endRun(x, true, "")
	case <-down:
		<-r.Context().Done()
		f.endRun(x, false, "the replica has crashed")
	}
}

// silentCrash plays BUDGET: a request crashes each replica that begins to run it, and comes
// again. The machines of these replicas go dark, so that no channel breaks.
func silentCrash(e *env) (bool, error) {
	var replicas []*replica
	_, g, err := e.startSystem(orderConfiguration(1500*time.Millisecond), 3*time.Second, func(s *store) error {
		return e.registerReplicas(12, 6, "shop", func(id string) (*replica, error) {
			p, err := newReplica(e, id, "shop", nil)
			if err != nil {
				return nil, err
			}
			f := &fragile{replica: p, store: s, down: make(chan struct{})}
			p.serveRun = f.serve
			return p, nil
		}, &replicas)(s)
	})
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var served, failed atomic.Int64
	end := time.Now().Add(36 * time.Second)
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				if a := once(g.front, keyed("GET", fmt.Sprintf("/lookup/%d-%d", i, n), "key-kept")); a.status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	// The request comes again until it is served.
	for e.hasTrouble && time.Now().Before(end) {
		r := keyed("GET", deadlyPath, "key-kept")
		r.timeout = 2500 * time.Millisecond
		a := once(g.front, r)
		e.logf("caller", "deadly: %v, Retry-After %q", a, a.header.Get("Retry-After"))
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	crashes, late := countCrashes(replicas)
	e.logf("case", "BUDGET: the request crashed %d replicas, %d of them later than contactMs after the third; %d sound requests were served, %d not", crashes, late, served.Load(), failed.Load())
	fmt.Printf("%d crashes, %d late; %d sound requests served, %d not\n", crashes, late, served.Load(), failed.Load())
	return late > 3, nil
}

// countCrashes returns how often the deadly request reached a replica, and how often later
// than contactMs after the third time.
func countCrashes(replicas []*replica) (crashes, late int) {
	var l []time.Time
	for _, p := range replicas {
		for _, x := range p.allRuns() {
			if x.path == deadlyPath {
				l = append(l, x.began)
			}
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	for _, t := range l {
		if len(l) >= 3 && t.After(l[2].Add(contactTime)) {
			late++
		}
	}
	return len(l), late
}
