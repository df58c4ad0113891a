package review2

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() {
	scenarios["large-versions"] = largeVersions
}

const (
	host          = "ficu95.example"
	largeValue    = 1_000_000 // below valueBytes
	contactTime   = 3 * time.Second
	outerTime     = 5 * time.Second
	configApplies = 2 * time.Second
)

// limits are those of the example on the users' pages.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func route(name, prefix, kind, service string, timeout time.Duration, isPublic bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 300,
		"priority": 2, "service": service, "maxAttempts": 1, "public": isPublic, "stickySessions": false, "streamResume": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
}

// largeConfiguration returns a version of a configuration of about largeValue bytes. The
// last version moves a route to another service, takes a key away and adds a route.
func largeConfiguration(version int, isLast bool) map[string]any {
	service, keys := "shop-old", []string{"key-kept", "key-withdrawn"}
	if isLast {
		service, keys = "shop-new", []string{"key-kept"}
	}
	routes := []map[string]any{route("r-order", "/order/", "non_idempotent", service, 1500*time.Millisecond, false)}
	if isLast {
		routes = append(routes, route("r-added", "/added/", "idempotent", "shop-new", 1500*time.Millisecond, false))
	}
	size := 0
	for i := 0; size < largeValue-2500; i++ {
		r := route(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more-%d/", i), "idempotent", "shop-old", 1500*time.Millisecond, false)
		routes = append(routes, r)
		size += 240 + 2*len(fmt.Sprint(i))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{plainService("shop-old"), plainService("shop-new")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": keys}},
	}
}

func keyed(method, path, key string) request {
	return request{method: method, host: host, path: path, header: http.Header{"Authorization": {"Bearer " + key}}, timeout: 1500 * time.Millisecond}
}

// largeVersions plays CONFIG: the gateway is partitioned from the store while versions
// of a large configuration come in quick succession, and the partition heals.
func largeVersions(e *env) (bool, error) {
	var replicas []*replica
	s, g, err := e.startSystem(largeConfiguration(7, false), 2*time.Second, func(s *store) error {
		for _, service := range []string{"shop-old", "shop-new"} {
			p, err := newReplica(e, "i-"+service, service, unary(20*time.Millisecond))
			if err != nil {
				return err
			}
			s.put("servers/"+p.id, p.entry(6))
			replicas = append(replicas, p)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	a := once(g.front, keyed("POST", "/order/1", "key-withdrawn"))
	e.logf("caller", "before: %v", a)
	if a.status != http.StatusOK || replicas[0].runOf(a.id) == nil {
		return false, fmt.Errorf("the first request was not served by the old service: %v", a)
	}
	from := changeDuringCut(e, s)
	e.logf("case", "requests count from %.3f on", e.since(from))
	time.Sleep(time.Until(from))
	stale := countStale(e, g, replicas[0], replicas[1])
	e.logf("case", "CONFIG: stale: %s", stale)
	fmt.Println(stale)
	return stale != "", nil
}

// changeDuringCut writes six versions, one each 0.6 s, within a cut of 4 s, and returns from
// when on requests count.
func changeDuringCut(e *env, s *store) time.Time {
	cutAt := time.Now()
	if e.hasTrouble {
		e.logf("platform", "the gateway is partitioned from the store")
		s.setCut(true)
	}
	const changes = 6
	for i := 1; i <= changes; i++ {
		time.Sleep(600 * time.Millisecond)
		s.put("op/config", largeConfiguration(7+3*i, i == changes))
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(cutAt.Add(4 * time.Second)))
	if e.hasTrouble {
		e.logf("platform", "the partition has healed")
		s.setCut(false)
	}
	// The gateway is in touch contactMs after the cut, and an unstable core stretches the
	// bound by outerMs at most.
	from := time.Now().Add(contactTime + outerTime)
	if t := acknowledged.Add(configApplies + outerTime); t.After(from) {
		return t
	}
	return from
}

// countStale sends requests for 5 s and tells which were handled as only an older version
// allows; empty if none was.
func countStale(e *env, g *gateway, before, after *replica) string {
	stale := map[string]int{}
	asked := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		asked++
		a := once(g.front, keyed("POST", "/order/2", "key-kept"))
		e.logf("caller", "order: %v", a)
		if before.runOf(a.id) != nil {
			stale["run by the old service"]++
		}
		a = once(g.front, keyed("POST", "/order/3", "key-withdrawn"))
		e.logf("caller", "withdrawn key: %v", a)
		if before.runOf(a.id) != nil || after.runOf(a.id) != nil {
			stale["run with a withdrawn key"]++
		}
		a = once(g.front, keyed("GET", "/added/4", "key-kept"))
		e.logf("caller", "added route: %v", a)
		if a.status == http.StatusNotFound {
			stale["refused with 404 though the route is there"]++
		}
	}
	var l []string
	for _, k := range slices.Sorted(maps.Keys(stale)) {
		l = append(l, fmt.Sprintf("%s: %d of %d", k, stale[k], asked))
	}
	return strings.Join(l, "; ")
}
