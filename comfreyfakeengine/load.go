package comfreyfakeengine

import (
	"net/http"
	"strconv"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// historySize is how many load reports and cache events an engine keeps.
const historySize = 4096

// Load returns the load as it is now, without lag.
func (e *Engine) Load() comfreyengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load()
}

// load returns the load as it is now. The caller holds e.mu.
func (e *Engine) load() comfreyengine.Load {
	return comfreyengine.Load{
		Running:        len(e.batch.running),
		Waiting:        len(e.batch.waiting),
		UsedTokens:     e.batch.usedTokens(),
		CapacityTokens: e.config.CapacityTokens,
		Preemptions:    e.batch.preemptions,
		AsOf:           e.config.Now(),
	}
}

// reportLoad keeps a report when the latest one is old enough to tell apart.
// The caller holds e.mu.
func (e *Engine) reportLoad() {
	if e.config.LoadLag <= 0 {
		return
	}
	n := len(e.loads)
	if n > 0 && e.config.Now().Sub(e.loads[n-1].AsOf) < e.config.LoadLag/historySize {
		return
	}
	e.loads = append(e.loads, e.load())
	limit := e.config.Now().Add(-e.config.LoadLag)
	for len(e.loads) > 1 && !e.loads[1].AsOf.After(limit) {
		e.loads = e.loads[1:]
	}
}

// laggedLoad returns the latest report that is at least LoadLag old.
func (e *Engine) laggedLoad() comfreyengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.LoadLag <= 0 {
		return e.load()
	}
	e.reportLoad()
	return e.loads[0]
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if e.failures.loadMissing.Load() {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	comfreyfakeserver.WriteJSON(w, http.StatusOK, e.laggedLoad())
}

// publishCacheEvent keeps an event, but for the gaps. The caller holds e.mu.
func (e *Engine) publishCacheEvent(k comfreyengine.CacheEventKind, block uint64) {
	e.eventSequence++
	if n := e.config.CacheEventGap; n > 0 && e.eventSequence%uint64(n) == 0 {
		return
	}
	e.events.Put(comfreyengine.CacheEvent{
		Sequence: e.eventSequence,
		Kind:     k,
		Block:    strconv.FormatUint(block, 16),
		At:       e.config.Now(),
	})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "after must be a number")
		return
	}
	limit := e.config.Now().Add(-e.config.LoadLag)
	s := comfreyengine.CacheEvents{Events: []comfreyengine.CacheEvent{}}
	for _, v := range e.events.Snapshot() {
		if v.Sequence > after && !v.At.After(limit) {
			s.Events = append(s.Events, v)
		}
	}
	comfreyfakeserver.WriteJSON(w, http.StatusOK, s)
}
