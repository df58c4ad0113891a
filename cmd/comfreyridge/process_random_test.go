package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyseed"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// A random run is repeated from its seed by
//
//	go test ./cmd/comfreyridge -run TestProcessesUnderRandomFaults -comfrey.seed=N
//
// The seed fixes the faults and the requests; the processes' interleaving stays
// free.
const (
	randomCallers  = 6
	randomRequests = 12
	// callLimit bounds one call: a frozen process answers nothing.
	callLimit = 5 * time.Second
)

func TestProcessesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range comfreyseed.Seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandom(t, seed) })
	}
}

func runRandom(t *testing.T, seed uint64) {
	f := startProcesses(t, fleetOptions{stepTime: "2ms"})
	u := &claims{t: t, f: f, orders: map[string][]comfreycaller.OrderResult{}}
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { injectFaults(t, f, rand.New(rand.NewPCG(seed, 0)), stop) })
	for i := range randomCallers {
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() {
			c := f.caller()
			for range randomRequests {
				if r.IntN(3) == 0 {
					u.order(c, r)
					continue
				}
				u.generate(c, r)
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	u.check()
	f.disarm()
	f.waitReady()
	f.serves()
}

// injectFaults kills, freezes and restarts one process after the other until
// stop is closed, and leaves all of them running.
func injectFaults(t *testing.T, f *processFleet, r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(300)) * time.Millisecond):
		}
		n := f.members()[r.IntN(len(f.members()))]
		pause := time.Duration(r.IntN(1500)) * time.Millisecond
		switch r.IntN(6) {
		case 0, 1:
			n.kill(t)
			time.Sleep(pause / 4)
			n.start(t)
		case 2, 3:
			n.signal(t, syscall.SIGSTOP)
			time.Sleep(pause)
			n.signal(t, syscall.SIGCONT)
		case 4:
			post(t, f.engines[r.IntN(len(f.engines))].url+"/fake/crash?down=50ms")
		case 5:
			post(t, f.applications[r.IntN(len(f.applications))].url+"/fake/fail-after-run")
		}
	}
}

// disarm has every application spend a failure that waits for its next order.
func (f *processFleet) disarm() {
	for _, n := range f.applications {
		resp, err := http.Post(n.url+"/orders", "", strings.NewReader("disarm"))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// claims are what callers were told, to be compared with what ran.
type claims struct {
	t *testing.T
	f *processFleet

	mu     sync.Mutex
	notRun []string
	orders map[string][]comfreycaller.OrderResult
}

func (u *claims) gateway(r *rand.Rand) string {
	return u.f.gateways[r.IntN(len(u.f.gateways))].url
}

// generate asks for one generation and resumes it at any gateway.
func (u *claims) generate(c comfreycaller.Caller, r *rand.Rand) {
	n := 1 + r.IntN(300)
	var result comfreycaller.Result
	var text, last string
	body := fmt.Appendf(nil, `{"model":%q,"prompt":"Cut-out %x.","stream":true,"fake_length":%d}`, generationService, r.Uint64(), n)
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		result = c.Stream(ctx, u.gateway(r), body, last, nil)
		cancel()
		text += result.Text
		last = result.LastEventID
		if result.Complete || last == "" {
			break
		}
	}
	if result.Complete {
		checkTokens(u.t, text, n)
		return
	}
	checkTokens(u.t, text, len(strings.Fields(text)))
	if result.Error.Verdict == comfreyverdict.VerdictNotRun {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.notRun = append(u.notRun, result.RequestID)
	}
}

// order mints a ticket and acts on it several times through any gateway.
func (u *claims) order(c comfreycaller.Caller, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	ticket, err := c.Mint(ctx, u.gateway(r), orderService)
	if err != nil {
		return
	}
	var s []comfreycaller.OrderResult
	for range 1 + r.IntN(4) {
		method := http.MethodPut
		if r.IntN(5) == 0 {
			method = http.MethodDelete
		}
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		s = append(s, c.Order(ctx, method, u.gateway(r), orderService, ticket, []byte("slab")))
		cancel()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.orders[ticket] = s
}

// check compares every claim with the ground truth of the stand-ins.
func (u *claims) check() {
	began := u.f.beganByRequest()
	for _, id := range u.notRun {
		if began[id] > 0 {
			u.t.Errorf("request %s was answered not-run and ran", id)
		}
	}
	for ticket, s := range u.orders {
		n := u.f.orderRuns(ticket)
		if n > 1 {
			u.t.Errorf("order %s ran %d times", ticket, n)
		}
		for _, o := range s {
			told := o.Error.Verdict
			if (told == comfreyverdict.VerdictNotRun && n > 0) || (told == comfreyverdict.VerdictRan && n == 0) {
				u.t.Errorf("order %s ran %d times and was answered %+v", ticket, n, o)
			}
		}
	}
	u.t.Logf("%d requests answered not-run, %d orders", len(u.notRun), len(u.orders))
}
