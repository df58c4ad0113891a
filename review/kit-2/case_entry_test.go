package review2

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["foreign-entry"] = foreignEntry
}

// foreignEntry plays DENIED: another writer's entry, in which most fields are missing,
// stands beside those of the replicas. The program at its address is no replica.
func foreignEntry(e *env) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	var reached atomic.Int64
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		reached.Add(1)
		e.logf("foreign", "got %s %s of tenant %q, id %s, body %q", r.Method, r.URL.Path, r.Header.Get("X-Tenant"), r.Header.Get("X-Request-Id"), body)
		http.Error(w, "this program serves /metrics only", http.StatusNotFound)
	})}
	go func() { _ = h.Serve(l) }()
	e.closers = append(e.closers, func() { _ = h.Close() })
	var replicas []*replica
	s, g, err := e.startSystem(orderConfiguration(1500*time.Millisecond), 4*time.Second, e.registerReplicas(3, 6, "shop", func(id string) (*replica, error) {
		return newReplica(e, id, "shop", unary(60*time.Millisecond))
	}, &replicas))
	if err != nil {
		return false, err
	}
	if e.hasTrouble {
		// version, slots, coldLeftMs, sequence and born are missing.
		s.put("servers/exporter-1", map[string]any{"service": "shop", "address": l.Addr().String(), "zone": "bxl-a", "state": "ready"})
	}
	time.Sleep(4 * time.Second)
	asked, denied, lost := 0, 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		asked++
		r := keyed("POST", "/order/1", "key-kept")
		r.body = fmt.Sprintf("two slabs, order %d", asked)
		a := once(g.front, r)
		if a.status == http.StatusOK && runOf(replicas, a.id) != nil {
			continue
		}
		lost++
		e.logf("caller", "not served: %v, seal %q, %q", a, a.header.Get("X-Replica-Seal"), a.body)
		if a.isDenied() {
			denied++
		}
	}
	e.logf("case", "DENIED: of %d orders, %d were ended with a 4xx that is no replica's, %d were not served; the other program got %d", asked, denied, lost, reached.Load())
	fmt.Printf("of %d orders, %d were denied; the other program got %d\n", asked, denied, reached.Load())
	return float64(denied) > 5+float64(asked)/500, nil
}

// isDenied reports whether an answer is a 3xx or 4xx that no replica has sent, other than
// 408, 421 and 429.
func (a answer) isDenied() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	default:
		return a.status >= 300 && a.status < 500 && a.header.Get("X-Replica-Seal") == ""
	}
}
