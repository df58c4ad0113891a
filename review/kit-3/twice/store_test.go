package twice

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its changes (historyS).
const historyTime = 20 * time.Second

// item is an item of the store, or an event of a watch.
type item struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
	at         time.Time
}

// store is the platform's store as the gateways see it.
type store struct {
	env     *env
	address string

	mu       sync.Mutex
	items    map[string]item
	revision uint64
	// discarded is the highest revision that is no longer in the history.
	discarded uint64
	history   []item
	changed   chan struct{}
	// isCut means that the gateways cannot reach the store; the operator can.
	isCut bool
	// cut is closed and replaced when a cut begins.
	cut chan struct{}
}

func newStore(e *env) (*store, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{env: e, address: l.Addr().String(), items: map[string]item{}, revision: 10, discarded: 10, changed: make(chan struct{}), cut: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /comfreyridge/kv-range", s.list)
	m.HandleFunc("GET /comfreyridge/kv-watch", s.watch)
	h := &http.Server{Handler: m}
	go func() { _ = h.Serve(l) }()
	e.closers = append(e.closers, func() { _ = h.Close() })
	return s, nil
}

// put writes a value, as the operator or a replica does. It returns at the ack.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(b)})
	s.env.logf("store", "acknowledged %s at revision %d, %d bytes", key, s.latest(), len(b))
}

func (s *store) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) change(x item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	x.Revision, x.at = s.revision, time.Now()
	if x.CreatedRev = s.items[x.Key].CreatedRev; x.CreatedRev == 0 {
		x.CreatedRev = x.Revision
	}
	s.items[x.Key] = x
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setCut begins or ends a cut between the gateways and the store.
func (s *store) setCut(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = v
	if v {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// failIfCut resets the connection of a gateway that is cut off.
func (s *store) failIfCut() {
	s.mu.Lock()
	isCut := s.isCut
	s.mu.Unlock()
	if isCut {
		panic(http.ErrAbortHandler)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.failIfCut()
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	l := []item{}
	size := 0
	for _, k := range keys {
		if len(l) == 500 || len(l) > 0 && size+len(s.items[k].Value) > 1<<20 {
			break
		}
		l = append(l, s.items[k])
		size += len(s.items[k].Value)
	}
	writeJSON(w, map[string]any{"items": l, "hasMore": len(l) < len(keys), "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	s.failIfCut()
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.discard()
		if after < s.discarded {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		l := []item{}
		for _, x := range s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, r.FormValue("prefix")) {
				l = append(l, x)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(l) > 0 {
			writeJSON(w, map[string]any{"events": l, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-end:
			writeJSON(w, map[string]any{"events": l, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// discard drops changes that are older than the history reaches. The mutex must be
// held.
func (s *store) discard() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.discarded = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// remove removes a key, as when its lease runs out.
func (s *store) remove(key string) {
	s.change(item{Key: key, Tombstone: true})
	s.mu.Lock()
	delete(s.items, key)
	s.mu.Unlock()
	s.env.logf("store", "%s is removed", key)
}
