package comfreydemo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyrelay"
	"comfreyridge.example/comfreyridge/comfreyseed"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The random fault run is repeated from its seed by
//
//	go test ./comfreydemo -run TestRandomFaults -comfrey.seed=N
const (
	// faultCallers is how many callers work at the same time.
	faultCallers = 6
	// faultRequests is how many requests each of them sends.
	faultRequests = 12
)

func TestRandomFaultsKeepThePromises(t *testing.T) {
	for seed := range comfreyseed.Seeds(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	f := startFleet(t, FleetConfig{
		Relays:  true,
		Engine:  comfreyfakeengine.Config{StepTime: time.Millisecond, Linger: 100 * time.Millisecond, CapacityTokens: 900},
		Gateway: comfreygateway.Config{SilenceTimeout: 300 * time.Millisecond},
		Sidecar: comfreysidecar.Config{OrphanTimeout: 300 * time.Millisecond},
	})
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { injectFaults(t, f, rand.New(rand.NewPCG(seed, 0)), stop) })
	truth := &truth{t: t, fleet: f}
	for i := range faultCallers {
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() {
			c := newCaller(t)
			for range faultRequests {
				if r.IntN(4) == 0 {
					truth.order(c, r)
					continue
				}
				truth.generate(c, r)
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	truth.check()
}

// injectFaults breaks one thing after the other until stop is closed.
func injectFaults(t *testing.T, f *Fleet, r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(60)) * time.Millisecond):
		}
		relay := f.Relays[r.IntN(len(f.Relays))]
		switch r.IntN(9) {
		case 0:
			relay.Cut()
		case 1:
			relay.Freeze(comfreyrelay.Direction(r.IntN(3)), comfreyrelay.Mode(r.IntN(2)))
		case 2:
			relay.Refuse()
		case 3:
			relay.CutAfter(comfreyrelay.Direction(1+r.IntN(2)), r.IntN(2000))
		case 4, 5:
			if err := relay.Restore(); err != nil {
				t.Error(err)
			}
		case 6:
			f.Engines[r.IntN(len(f.Engines))].Crash(time.Duration(r.IntN(50)) * time.Millisecond)
		case 7:
			f.Engines[r.IntN(len(f.Engines))].Preempt()
		case 8:
			a := f.Applications[r.IntN(len(f.Applications))]
			a.FailNext(comfreyfakeapplication.FailurePoint(1 + r.IntN(2)))
		}
	}
}

// truth compares what callers were told with what ran.
type truth struct {
	t     *testing.T
	fleet *Fleet

	mu     sync.Mutex
	notRun []string
	orders []orderClaim
}

// orderClaim is what the caller of an order was told last.
type orderClaim struct {
	ticket  string
	verdict comfreyverdict.Verdict
}

// generate runs one generation, resuming it at any gateway, and checks its
// text.
func (u *truth) generate(c comfreycaller.Caller, r *rand.Rand) {
	n := 1 + r.IntN(120)
	body := lengthBody(u.t, n, true)
	result := c.Stream(u.t.Context(), u.fleet.URL(r.IntN(2)), body, "", nil)
	text := result.Text
	for tries := 0; !result.Complete && result.LastEventID != "" && tries < 3; tries++ {
		result = c.Stream(u.t.Context(), u.fleet.URL(r.IntN(2)), nil, result.LastEventID, nil)
		text += result.Text
	}
	words := strings.Fields(text)
	if result.Complete {
		checkText(u.t, text, 0, n)
		return
	}
	if len(words) > 0 {
		checkText(u.t, text, 0, len(words))
	}
	if result.Error.Verdict == comfreyverdict.VerdictNotRun {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.notRun = append(u.notRun, result.RequestID)
	}
}

// order mints a ticket and acts on it several times through any gateway.
func (u *truth) order(c comfreycaller.Caller, r *rand.Rand) {
	ticket, err := c.Mint(u.t.Context(), u.fleet.URL(r.IntN(2)), OrderService)
	if err != nil {
		return
	}
	claim := orderClaim{ticket: ticket}
	for range 1 + r.IntN(4) {
		method := http.MethodPut
		if r.IntN(5) == 0 {
			method = http.MethodDelete
		}
		o := c.Order(u.t.Context(), method, u.fleet.URL(r.IntN(2)), OrderService, ticket, []byte("slab"))
		if claim.verdict == comfreyverdict.VerdictNotRun && o.Error.Verdict == comfreyverdict.VerdictRan {
			u.t.Errorf("ran after not-run: %+v", o)
		}
		if o.Error.Verdict != comfreyverdict.VerdictMayHaveRun {
			claim.verdict = o.Error.Verdict
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.orders = append(u.orders, claim)
}

// check compares every claim with the ground truth of the stand-ins.
func (u *truth) check() {
	began := map[string]bool{}
	for _, e := range u.fleet.Engines {
		for id := range e.Runs() {
			request, _, _ := strings.Cut(id, "#")
			began[request] = true
		}
	}
	for _, id := range u.notRun {
		if began[id] {
			u.t.Errorf("request %s was answered not-run and ran", id)
		}
	}
	runs := map[string]int{}
	for _, a := range u.fleet.Applications {
		for id, r := range a.Runs() {
			runs[id] += r.Began
		}
	}
	for _, o := range u.orders {
		k, err := comfreyorder.ParseTicket(o.ticket, []byte(fleetKey))
		if err != nil {
			u.t.Fatal(err)
		}
		id := fmt.Sprintf("%s-%d-%x", k.OwnerHost, k.OwnerIncarnation, k.Nonce)
		n := runs[id]
		if n > 1 || (n > 0 && o.verdict == comfreyverdict.VerdictNotRun) || (n == 0 && o.verdict == comfreyverdict.VerdictRan) {
			u.t.Errorf("order %s was answered %s and ran %d times", id, o.verdict, n)
		}
	}
}
