package review2

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["planned-stop"] = plannedStop
}

const graceTime = 8 * time.Second

func engineService(name string) map[string]any {
	s := plainService(name)
	s["maxConnections"] = 272
	s["engine"] = map[string]any{
		"slots": 24, "kvCapacityTokens": 34371, "tokenKvBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true, "stride": 4,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return s
}

func streamRoute(prefix string) map[string]any {
	r := route("r-draft", prefix, "streaming", "stone-llm", 39*time.Second, false)
	r["targetLatencyMs"], r["gapAimMs"], r["stickySessions"], r["priority"] = 1800, 180, true, 0
	return r
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

// plannedStop plays LOST: a gateway gets SIGTERM, and callers send requests on channels
// that they have opened before the platform has taken it out.
func plannedStop(e *env) (bool, error) {
	var replicas []*replica
	_, g, err := e.startSystem(streamConfiguration(), time.Second, e.registerReplicas(4, 24, "stone-llm", func(id string) (*replica, error) {
		return newReplica(e, id, "stone-llm", streamed(30*time.Millisecond))
	}, &replicas))
	if err != nil {
		return false, err
	}
	serveShort(e, g)

	// Each caller opens a channel within a second of the SIGTERM, in which the platform
	// cannot have seen two misses, and sends its request within headerTimeoutMs.
	stopAt := time.Now().Add(time.Second)
	const callers = 20
	answers := make([]answer, callers)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(stopAt.Add(500*time.Millisecond + time.Duration(i)*20*time.Millisecond)))
			c, err := dial(g.front)
			if err != nil {
				return
			}
			defer c.close()
			time.Sleep(time.Until(stopAt.Add(3100*time.Millisecond + time.Duration(i)*10*time.Millisecond)))
			answers[i] = c.do(streamRequest(250))
			e.logf("caller", "sent %.3f s after the SIGTERM: %v", answers[i].sent.Sub(stopAt).Seconds(), answers[i])
		}()
	}
	time.Sleep(time.Until(stopAt))
	if e.hasTrouble {
		g.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { g.signal(syscall.SIGKILL) })
	}
	wg.Wait()
	accepted, lost := 0, 0
	for _, a := range answers {
		if runOf(replicas, a.id) == nil {
			continue
		}
		accepted++
		if !a.isComplete && a.sent.Sub(stopAt) > 3*time.Second {
			lost++
		}
	}
	e.logf("case", "LOST: %d requests were sent over 3 s after the SIGTERM and passed on; %d were cut off", accepted, lost)
	fmt.Printf("%d passed on, %d cut off\n", accepted, lost)
	return lost > 0, nil
}

// serveShort plays the time before the stop, in which generations are short.
func serveShort(e *env, g *gateway) {
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(g.front)
			if err != nil {
				return
			}
			defer c.close()
			for i := 0; i < 25 && !c.isClosed; i++ {
				if a := c.do(streamRequest(3 + i%4)); a.status != http.StatusOK {
					e.logf("caller", "%v", a)
				}
			}
		}()
	}
	wg.Wait()
}
