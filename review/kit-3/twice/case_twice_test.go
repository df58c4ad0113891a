package twice

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	scenarios["rejected-stop"] = rejectedStop
}

// host is that of the routes.
const host = "ficu95.example"

// shortCount is the number of generations before the one that moves, of which each of the
// eight replicas runs some 30.
const shortCount = 240

// lossDelay is how long after the rejected call the answer is lost.
const lossDelay = 150 * time.Millisecond

// rejectedStop plays TWICE: a replica that leaves turns away the call that stops a
// generation of which the gateway has a copy. Then it loses the answer, and works on.
func rejectedStop(e *env) (bool, error) {
	byAddress := map[string]*engine{}
	var engines []*engine
	// New replicas open gradually, within some seconds.
	s, g, err := e.startSystem(streamConfiguration(), 6*time.Second, func(s *store) error {
		for i := range 8 {
			n, err := newEngine(e, fmt.Sprintf("i-%d", i+1), []string{"bxl-a", "lvn-b", "mch-c"}[i%3], byAddress)
			if err != nil {
				return err
			}
			s.put("servers/"+n.id, n.entry(24))
			engines = append(engines, n)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range shortCount / 12 {
				e.logf("caller", "%v", generate(g, 300, 3))
			}
		}()
	}
	wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		e.logf("caller", "the long one: %v", generate(g, 3079, 233))
	}()
	time.Sleep(1500 * time.Millisecond)
	from := engineOfLongRun(engines)
	if from == nil {
		return false, errors.New("the long generation does not run")
	}
	e.logf("case", "%s has run %d requests and is to leave", from.id, len(from.allRuns()))
	leave(e, s, from, &wg)
	wg.Wait()
	return judgeTwice(e, engines, from)
}

// leave makes a replica leave. Three other machines move their generations away at the same
// time, so that its link has a queue.
func leave(e *env, s *store, from *engine, wg *sync.WaitGroup) {
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 5 {
				from.transfer(3079, "another")
			}
		}()
	}
	draining := from.entry(24)
	draining["state"] = "draining"
	from.stateMu.Lock()
	from.rejectsStops = e.hasTrouble
	var once sync.Once
	from.onRejectedStop = func(x *engineRun) {
		once.Do(func() { time.AfterFunc(lossDelay, func() { close(x.lose) }) })
	}
	from.state = "draining"
	from.stateMu.Unlock()
	s.put("servers/"+from.id, draining)
}

// judgeTwice reports whether a generation went on at another replica over 400 ms before the
// end of its run at the one before.
func judgeTwice(e *env, engines []*engine, from *engine) (bool, error) {
	broken, moved := false, 0
	for _, to := range engines {
		for _, k := range to.allRuns() {
			x := from.runOf(k.id)
			if to == from || x == nil || !k.isResumed {
				continue
			}
			moved++
			overlap := x.ended.Sub(k.began).Round(time.Millisecond)
			e.logf("case", "TWICE: %s went on at %s at %.3f; %s worked on it until %.3f, %v longer", k.id, to.id, e.since(k.began), from.id, e.since(x.ended), overlap)
			fmt.Printf("%s went on at %s while %s worked on it for %v more\n", k.id, to.id, from.id, overlap)
			broken = broken || overlap > 400*time.Millisecond
		}
	}
	if moved == 0 {
		return false, errors.New("the generation was not moved")
	}
	return broken, nil
}

// generate asks for a generation with a prompt of some tokens.
func generate(g *gateway, promptTokens, events int) answer {
	r := streamRequest(events)
	r.header.Set("X-Token-Counts", fmt.Sprintf("%d,2204", promptTokens))
	return once(g.front, r)
}

// engineOfLongRun returns the replica that works on a long generation; nil if there is
// none.
func engineOfLongRun(engines []*engine) *engine {
	for _, n := range engines {
		n.stateMu.Lock()
		for _, x := range n.active {
			if x.promptTokens > 3000 {
				n.stateMu.Unlock()
				return n
			}
		}
		n.stateMu.Unlock()
	}
	return nil
}

func streamRequest(events int) request {
	r := keyed("POST", "/draft/1", "key-kept")
	r.timeout = 39 * time.Second
	r.body = fmt.Sprintf("events=%d", events)
	r.header.Set("X-Model", "m")
	r.header.Set("X-Token-Counts", "300,1024")
	r.header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:79,%08x:221", lastRequest.Load()+1))
	return r
}

func streamConfiguration() map[string]any {
	return map[string]any{
		"version": 7, "routes": []any{streamRoute("/draft/")}, "services": []any{engineService("stone-llm")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{"key-kept"}}},
	}
}

func keyed(method, path, key string) request {
	return request{method: method, host: host, path: path, header: http.Header{"Authorization": {"Bearer " + key}}, timeout: 1500 * time.Millisecond}
}

func streamRoute(prefix string) map[string]any {
	r := route("r-draft", prefix, "streaming", "stone-llm", 39*time.Second, false)
	r["targetLatencyMs"], r["gapAimMs"], r["stickySessions"], r["priority"] = 1800, 180, true, 0
	return r
}

func engineService(name string) map[string]any {
	s := plainService(name)
	s["maxConnections"] = 272
	s["engine"] = map[string]any{
		"slots": 24, "kvCapacityTokens": 34371, "tokenKvBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true, "stride": 4,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return s
}

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
