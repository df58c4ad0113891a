package review2

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["many-users"] = manyUsers
}

// burstFactor is how many times as many users come in a burst.
const burstFactor = 2.5

func orderConfiguration(timeout time.Duration) map[string]any {
	return map[string]any{
		"version": 7, "routes": []any{
			route("r-order", "/order/", "non_idempotent", "shop", timeout, false),
			route("r-lookup", "/lookup/", "idempotent", "shop", timeout, false),
		},
		"services": []any{plainService("shop")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{"key-kept"}}},
	}
}

// manyUsers plays CONFIG: many users come at once and keep their channels, on which each
// sends a request every few seconds. Requests on new channels get no answer. It also tells
// of GONE: some of these requests run after their requesters have left.
func manyUsers(e *env) (bool, error) {
	const timeout = 1500 * time.Millisecond
	if err := requireDescriptors(4000); err != nil {
		return false, err
	}
	var replicas []*replica
	_, g, err := e.startSystem(orderConfiguration(timeout), 2*time.Second, e.registerReplicas(7, 6, "shop", func(id string) (*replica, error) {
		return newReplica(e, id, "shop", unary(5*time.Millisecond))
	}, &replicas))
	if err != nil {
		return false, err
	}
	users := 1000
	if e.hasTrouble {
		users = int(float64(users) * burstFactor)
	}
	var isOver atomic.Bool
	var wg sync.WaitGroup
	for i := range users {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * time.Millisecond)
			useChannels(g, &isOver)
		}()
	}
	time.Sleep(12 * time.Second)
	e.logf("case", "%d users", users)
	left, untaken, asked, isReady := orderOnNewChannels(e, g, timeout)
	e.logf("case", "CONFIG: of %d requests on new channels, %d had no answer 0.5 s after timeoutMs; %d got no channel; the gateway always said that it is ready: %t", asked, len(left), untaken, isReady)
	fmt.Printf("%d of %d without an answer, %d without a channel, ready: %t\n", len(left), asked, untaken, isReady)

	// The burst is over. The orders whose requesters have left must not run any more.
	isOver.Store(true)
	wg.Wait()
	time.Sleep(3 * time.Second)
	late := 0
	for _, a := range left {
		if x := runOf(replicas, a.id); x != nil && x.began.Sub(a.ended) > 500*time.Millisecond {
			late++
			e.logf("case", "%s ran at %s %v after its requester had closed its channel", a.id, x.replica, x.began.Sub(a.ended).Round(time.Millisecond))
		}
	}
	e.logf("case", "GONE: %d of these orders reached a replica over 0.5 s after their requesters had left", late)
	fmt.Printf("%d orders ran after their requesters had left\n", late)
	return isReady && 2*(len(left)+untaken) > asked, nil
}

// useChannels is a user who keeps a channel and sends a request on it each 9 s.
func useChannels(g *gateway, isOver *atomic.Bool) {
	const interval = 9 * time.Second
	for !isOver.Load() {
		c, err := dial(g.front)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		for !isOver.Load() && !c.isClosed {
			if a := c.do(keyed("GET", "/lookup/1", "key-kept")); a.status != http.StatusOK {
				break
			}
			for t := time.Now(); time.Since(t) < interval && !isOver.Load(); {
				time.Sleep(100 * time.Millisecond)
			}
		}
		c.close()
	}
}

// orderOnNewChannels sends orders of ten requesters on new channels. It returns those that
// got no answer, how many got no channel and were sent in all, and whether the gateway
// always said that it is ready.
func orderOnNewChannels(e *env, g *gateway, timeout time.Duration) (left []answer, untaken, asked int, isReady bool) {
	isReady = true
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				r := keyed("POST", "/order/1", "key-kept")
				r.timeout = timeout + 500*time.Millisecond
				a := once(g.front, r)
				e.logf("caller", "%v", a)
				ready := g.isReady()
				mu.Lock()
				asked++
				isReady = isReady && ready
				switch {
				case a.id == noChannel:
					untaken++
				case a.status == 0:
					left = append(left, a)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return left, untaken, asked, isReady
}
