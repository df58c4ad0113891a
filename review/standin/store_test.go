package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a deletion.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in for the platform's metadata store: linearizable, never down.
type Store struct {
	Address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	s := &Store{items: map[string]item{}, changed: make(chan struct{}), rev: 10}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.Address = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /comfreyridge/kv-range", s.serveRange)
	m.HandleFunc("GET /comfreyridge/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, m) }()
	return s
}

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	must(err)
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(b)})
}

// Delete removes a key.
func (s *Store) Delete(key string) { s.change(item{Key: key, Tombstone: true}) }

func (s *Store) change(x item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	x.Revision = s.rev
	s.items[x.Key] = x
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []item{}
	for _, x := range s.items {
		if !x.Tombstone && strings.HasPrefix(x.Key, r.FormValue("prefix")) && x.Key > r.FormValue("after") {
			l = append(l, x)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	writeJSON(w, 200, map[string]any{"items": l, "hasMore": false, "storeRevision": s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l := []item{}
		for _, x := range s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, r.FormValue("prefix")) {
				l = append(l, x)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			writeJSON(w, 200, map[string]any{"events": l, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, 200, map[string]any{"events": l, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
