// Package comfreyfakeplatform stands in for the platform in tests and demos:
// read-and-watch values, a lagging host list, counters of calls, and switches
// that make it fail.
package comfreyfakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyplatform"
)

// Calls counts calls by kind.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
}

// Switches make the platform fail. The zero value makes it work.
type Switches struct {
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Stale serves what was published before the switch was set.
	Stale bool `json:"stale"`
	// Slow delays every answer.
	Slow time.Duration `json:"slow"`
}

// state is what the platform holds at one moment.
type state struct {
	manifest    comfreyconfig.Revision
	hosts       []byte
	hostsNumber uint64
}

// Platform is the stand-in. It is an http.Handler and safe for concurrent use.
type Platform struct {
	router chi.Router
	now    func() time.Time

	mu       sync.Mutex
	current  state
	old      state
	blobs    map[comfreyconfig.Hash][]byte
	lag      time.Duration
	switches Switches
	calls    Calls
	changed  chan struct{}
}

// New returns a platform that holds nothing.
func New() *Platform {
	p := &Platform{
		router:  chi.NewRouter(),
		now:     time.Now,
		current: state{hosts: []byte("[]"), hostsNumber: 1},
		blobs:   map[comfreyconfig.Hash][]byte{},
		changed: make(chan struct{}),
	}
	p.router.Get("/v1/values/{key}", p.serveValue)
	p.router.Get("/v1/watch", p.serveWatch)
	p.router.Get("/v1/hosts", p.serveHosts)
	p.router.Get("/fake/calls", p.serveCalls)
	p.router.Put("/fake/switches", p.serveSwitches)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Publish publishes a folder under the next number and returns the revision.
func (p *Platform) Publish(f comfreyconfig.Folder) comfreyconfig.Revision {
	p.mu.Lock()
	n := p.current.manifest.Number + 1
	p.mu.Unlock()
	return p.PublishRaw(n, f)
}

// PublishRaw publishes a folder under any number, checked or not, as two
// operators who race would. It panics if number is 0.
func (p *Platform) PublishRaw(number uint64, f comfreyconfig.Folder) comfreyconfig.Revision {
	r := comfreyconfig.NewRevision(number, f)
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, b := range comfreyconfig.Blobs(f) {
		p.blobs[h] = b
	}
	p.current.manifest = r
	p.wake()
	return r
}

// SetHosts publishes a host list, which is shown after the lag.
func (p *Platform) SetHosts(hosts []comfreyconfig.Host) error {
	b, err := json.Marshal(hosts)
	if err != nil {
		return fmt.Errorf("comfreyfakeplatform: %w", err)
	}
	p.mu.Lock()
	lag := p.lag
	p.mu.Unlock()
	if lag == 0 {
		p.showHosts(b)
		return nil
	}
	time.AfterFunc(lag, func() { p.showHosts(b) })
	return nil
}

func (p *Platform) showHosts(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.hosts = b
	p.current.hostsNumber++
}

// SetLag sets by how much the host list lags.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// SetSwitches sets how the platform fails. Open watches see it too.
func (p *Platform) SetSwitches(s Switches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Stale && !p.switches.Stale {
		p.old = p.current
	}
	p.switches = s
	p.wake()
}

// Calls returns the calls since the start.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// wake lets open watches look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// shown returns what a reader sees. The caller holds the lock.
func (p *Platform) shown() state {
	if p.switches.Stale {
		return p.old
	}
	return p.current
}

// admit counts a call and fails it if the platform is down. It returns what a
// reader sees.
func (p *Platform) admit(r *http.Request, counter *uint64) state {
	p.mu.Lock()
	*counter++
	d := p.switches.Slow
	p.mu.Unlock()
	if d > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(d):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failIfDown()
	return p.shown()
}

// failIfDown closes the connection if the platform is down.
func (p *Platform) failIfDown() {
	if p.switches.Down {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	s := p.admit(r, &p.calls.Reads)
	k := chi.URLParam(r, "key")
	if k == comfreyconfig.KeyManifest {
		writeManifest(w, s.manifest)
		return
	}
	var h comfreyconfig.Hash
	if len(k) < 5 || h.UnmarshalText([]byte(k[5:])) != nil || comfreyconfig.KeyBlob(h) != k {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	p.mu.Lock()
	b, ok := p.blobs[h]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set(comfreyplatform.RevisionHeader, "1")
	write(w, b)
}

func writeManifest(w http.ResponseWriter, r comfreyconfig.Revision) {
	if r.Number == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	setManifestHeaders(w, r)
	write(w, r.Manifest())
}

func setManifestHeaders(w http.ResponseWriter, r comfreyconfig.Revision) {
	w.Header().Set(comfreyplatform.RevisionHeader, strconv.FormatUint(r.Number, 10))
	w.Header().Set("ETag", strconv.Quote(r.Hash.String()))
}

// write writes a body; a reader that is gone needs none.
func write(w http.ResponseWriter, b []byte) {
	_, _ = w.Write(b)
}

// maxWait bounds how long a watch waits.
const maxWait = time.Minute

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	p.admit(r, &p.calls.Watches)
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, werr := time.ParseDuration(r.FormValue("wait"))
	if err != nil || werr != nil || r.FormValue("key") != comfreyconfig.KeyManifest {
		http.Error(w, "malformed watch", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(wait, maxWait))
	defer t.Stop()
	for {
		s, changed := p.look()
		if s.manifest.Number > after {
			writeManifest(w, s.manifest)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			setManifestHeaders(w, s.manifest)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// look returns what a watch sees and the channel that closes at a change.
func (p *Platform) look() (state, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failIfDown()
	return p.shown(), p.changed
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	s := p.admit(r, &p.calls.Hosts)
	w.Header().Set(comfreyplatform.RevisionHeader, strconv.FormatUint(s.hostsNumber, 10))
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err == nil && s.hostsNumber <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, s.hosts)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	b, err := json.Marshal(p.Calls())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, b)
}

func (p *Platform) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var s Switches
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetSwitches(s)
	w.WriteHeader(http.StatusNoContent)
}
