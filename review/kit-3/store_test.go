package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a listing.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is an item of the store, or a deletion.
type item struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      int    `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`

	at time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// dropped is the latest revision that is no longer in the history.
	dropped uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
}

// put writes an item as JSON.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(b)})
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.change(item{Key: key, Tombstone: true})
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
	if x.Tombstone {
		delete(s.items, x.Key)
	}
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at an address until the group ends. The wrapper, if there is
// one, changes its connections, and onList is called for each page of a listing.
func (s *store) serve(e *environment, address string, wrap func(net.Conn) net.Conn, onList func()) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /comfreyridge/kv-range", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		b := s.list(r)
		if onList != nil {
			onList()
		}
		writeJSON(w, b)
	})
	m.HandleFunc("GET /comfreyridge/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		b, ok := s.watch(r)
		time.Sleep(storeDelay)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		writeJSON(w, b)
	})
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	serveUntilEnd(e, h, &wrappedListener{l, wrap})
	return nil
}

// serveUntilEnd serves a listener until the group ends.
func serveUntilEnd(e *environment, h *http.Server, l net.Listener) {
	e.group.Go("serve", func(context.Context) error {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	e.group.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return h.Close()
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // The reader may have left.
}

func (s *store) list(r *http.Request) map[string]any {
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
	l, size := []item{}, 0
	for _, k := range keys {
		if size += len(s.items[k].Value) * 3 / 4; len(l) == maxPageItems || len(l) > 0 && size > maxPageBytes {
			break
		}
		l = append(l, s.items[k])
	}
	return map[string]any{"items": l, "hasMore": len(l) < len(keys), "storeRevision": s.revision}
}

// dropHistory drops the history that is too old. The mutex must be held.
func (s *store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// changesAfter returns the changes after a revision, as many as fit into a page, and the
// revision from which to go on. The mutex must be held.
func (s *store) changesAfter(after uint64, prefix string) (l []item, revision uint64) {
	l = []item{}
	size := 0
	for _, x := range s.history {
		if x.Revision <= after || !strings.HasPrefix(x.Key, prefix) {
			continue
		}
		if size += len(x.Value) * 3 / 4; len(l) == maxPageItems || len(l) > 0 && size > maxPageBytes {
			return l, l[len(l)-1].Revision
		}
		l = append(l, x)
	}
	return l, s.revision
}

// watch waits for a change. It reports false if the history is no longer available.
func (s *store) watch(r *http.Request) (answer map[string]any, ok bool) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		if s.dropHistory(); after < s.dropped {
			s.mu.Unlock()
			return nil, false
		}
		l, revision := s.changesAfter(after, r.FormValue("prefix"))
		changed := s.changed
		s.mu.Unlock()
		if len(l) > 0 || isOver {
			return map[string]any{"events": l, "storeRevision": revision}, true
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
	}
}

// wrappedListener changes the connections that it accepts.
type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.wrap == nil {
		return c, err
	}
	return l.wrap(c), nil
}

// pacedConn is a connection over a link with a limited bandwidth.
type pacedConn struct {
	net.Conn
	bytesPerSecond float64
}

// Write implements net.Conn.
func (c *pacedConn) Write(b []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(b, 4<<10) {
		time.Sleep(time.Duration(float64(len(part)) / c.bytesPerSecond * float64(time.Second)))
		n, err := c.Conn.Write(part)
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}
