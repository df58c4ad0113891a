package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func TestProcessesFrozen(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{orderTime: "300ms"})
	t.Run("gateway-stream", func(t *testing.T) { freezeGateway(t, f, true) })
	t.Run("gateway-stream-kept-open", func(t *testing.T) { freezeGateway(t, f, false) })
	t.Run("gateway-order", func(t *testing.T) { freezeGatewayOrder(t, f) })
	t.Run("sidecar-stream", func(t *testing.T) { freezeSidecar(t, f) })
	t.Run("sidecar-order", func(t *testing.T) { freezeOwner(t, f) })
	t.Run("sidecar-order-voided", func(t *testing.T) { freezeOwnerAndVoid(t, f) })
}

// freezeGateway freezes the gateway of a running stream. The caller resumes at
// the other one, and the frozen one wakes up while the second stream runs. The
// caller closes its first connection, or leaves it open.
func freezeGateway(t *testing.T, f *processFleet, closes bool) {
	c := f.caller()
	frozen, other := f.gateways[0], f.gateways[1]
	ctx, hangUp := context.WithCancel(t.Context())
	defer hangUp()
	last := make(chan comfreycaller.Event, 1)
	var mu sync.Mutex
	seen, text, lastID, resumed := 0, "", "", false
	done := make(chan comfreycaller.Result, 1)
	go func() {
		done <- c.Stream(ctx, frozen.url, lengthBody(500), "", func(e comfreycaller.Event) {
			mu.Lock()
			defer mu.Unlock()
			seen++
			if !resumed {
				text += comfreycaller.Text(e.Data)
				lastID = e.ID
			}
			if seen == 20 {
				frozen.signal(t, syscall.SIGSTOP)
				last <- e
			}
		})
	}()
	<-last
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	resumed = true
	from := lastID
	head := text
	mu.Unlock()
	if closes {
		hangUp()
	}
	second := c.Stream(t.Context(), other.url, nil, from, atEvent(20, func(comfreycaller.Event) {
		frozen.signal(t, syscall.SIGCONT)
	}))
	if !second.Complete {
		t.Fatalf("got %+v", second)
	}
	checkTokens(t, head+second.Text, 500)
	hangUp()
	<-done
	f.waitReady()
}

// freezeGatewayOrder freezes a gateway that has an order to forward; the caller
// repeats it through the other one, and the frozen one wakes up and forwards.
func freezeGatewayOrder(t *testing.T, f *processFleet) {
	c := f.caller()
	frozen, other := f.gateways[0], f.gateways[1]
	ticket, err := c.Mint(t.Context(), other.url, orderService)
	if err != nil {
		t.Fatal(err)
	}
	frozen.signal(t, syscall.SIGSTOP)
	late := make(chan comfreycaller.OrderResult, 1)
	go func() {
		late <- c.Order(t.Context(), http.MethodPut, frozen.url, orderService, ticket, []byte("slab"))
	}()
	o := c.Order(t.Context(), http.MethodPut, other.url, orderService, ticket, []byte("slab"))
	frozen.signal(t, syscall.SIGCONT)
	for _, o := range []comfreycaller.OrderResult{o, <-late} {
		if o.Error.Verdict != comfreyverdict.VerdictRan {
			t.Errorf("got %+v", o)
		}
	}
	if n := f.orderRuns(ticket); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// freezeSidecar freezes the sidecar of a running stream for longer than the
// gateway bears silence. The answer is whole, and the sidecar gets work again.
func freezeSidecar(t *testing.T, f *processFleet) {
	c := f.caller()
	var wg sync.WaitGroup
	var n *node
	r := c.Stream(t.Context(), f.gateways[0].url, lengthBody(300), "", atEvent(20, func(e comfreycaller.Event) {
		n = f.serving(e.ID)
		n.signal(t, syscall.SIGSTOP)
		wg.Go(func() {
			time.Sleep(6500 * time.Millisecond)
			n.signal(t, syscall.SIGCONT)
		})
	}))
	wg.Wait()
	if !r.Complete {
		t.Errorf("got %+v", r)
	}
	checkTokens(t, r.Text, 300)
	for _, g := range f.gateways {
		eventually(t, "the woken sidecar gets work from "+g.name, func() bool {
			r := c.Stream(t.Context(), g.url, lengthBody(1), "", nil)
			return r.Complete && f.serving(r.LastEventID) == n
		})
	}
}

// freezeOwner freezes the owner of an order while the order runs. The caller
// repeats its PUT through the other gateway meanwhile.
func freezeOwner(t *testing.T, f *processFleet) {
	c := f.caller()
	ticket, err := c.Mint(t.Context(), f.gateways[0].url, orderService)
	if err != nil {
		t.Fatal(err)
	}
	n := f.ownerOf(ticket)
	results := make(chan comfreycaller.OrderResult, 2)
	put := func(g *node) {
		results <- c.Order(t.Context(), http.MethodPut, g.url, orderService, ticket, []byte("slab"))
	}
	go put(f.gateways[0])
	eventually(t, "the order runs", func() bool { return f.orderRuns(ticket) > 0 })
	n.signal(t, syscall.SIGSTOP)
	go put(f.gateways[1])
	time.Sleep(time.Second)
	n.signal(t, syscall.SIGCONT)
	for range 2 {
		if o := <-results; o.Error.Verdict != comfreyverdict.VerdictRan {
			t.Errorf("got %+v", o)
		}
	}
	if n := f.orderRuns(ticket); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	f.waitReady()
}

// freezeOwnerAndVoid freezes the owner of an order before its PUT arrives. The
// caller gives up and voids the order through the other gateway; the owner
// wakes up to both at once.
func freezeOwnerAndVoid(t *testing.T, f *processFleet) {
	c := f.caller()
	for range 5 {
		ticket, err := c.Mint(t.Context(), f.gateways[0].url, orderService)
		if err != nil {
			t.Fatal(err)
		}
		n := f.ownerOf(ticket)
		n.signal(t, syscall.SIGSTOP)
		results := make(chan comfreycaller.OrderResult, 2)
		send := func(method string, g *node) {
			results <- c.Order(t.Context(), method, g.url, orderService, ticket, []byte("slab"))
		}
		go send(http.MethodPut, f.gateways[0])
		go send(http.MethodDelete, f.gateways[1])
		time.Sleep(200 * time.Millisecond)
		n.signal(t, syscall.SIGCONT)
		var s []comfreycaller.OrderResult
		for range 2 {
			s = append(s, <-results)
		}
		o := c.Order(t.Context(), http.MethodGet, f.gateways[0].url, orderService, ticket, nil)
		s = append(s, o)
		checkOrder(t, f, ticket, s)
	}
}

// checkOrder compares what callers were told about an order with what ran.
func checkOrder(t *testing.T, f *processFleet, ticket string, s []comfreycaller.OrderResult) {
	t.Helper()
	n := f.orderRuns(ticket)
	if n > 1 {
		t.Errorf("the order ran %d times", n)
	}
	for _, o := range s {
		told := o.Error.Verdict
		if (told == comfreyverdict.VerdictNotRun && n > 0) || (told == comfreyverdict.VerdictRan && n == 0) {
			t.Errorf("the order ran %d times and was answered %+v", n, o)
		}
	}
}
