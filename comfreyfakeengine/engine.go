// Package comfreyfakeengine is a small stand-in for a model engine. It batches
// continuously within a token memory that can run out, caches prompt prefixes,
// honours priorities, resumes and cancels streams, takes orders and fails on
// demand. It keeps the ground truth of what ran.
package comfreyfakeengine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyring"
)

// maxBodyBytes bounds the bodies that the engine reads.
const maxBodyBytes = 4 << 20

// Engine is one engine stand-in. It is an http.Handler and safe for concurrent
// use.
type Engine struct {
	config   Config
	handler  http.Handler
	group    *comfreygroup.Group
	wake     chan struct{}
	failures failures
	events   *comfreyring.Ring[comfreyengine.CacheEvent]

	mu            sync.Mutex
	incarnation   int
	identity      string
	counter       uint64
	batch         batch
	cache         *prefixCache
	generations   map[string]*generation
	runs          map[string]RunRecord
	loader        loader
	loads         []comfreyengine.Load
	eventSequence uint64
	crashes       int
	stalled       bool
	reclaimed     bool
	reclaim       *time.Timer
	downUntil     time.Time
}

// New returns an engine that steps until Close.
func New(c Config) *Engine {
	e := &Engine{
		config: c.withDefaults(),
		group:  comfreygroup.New(context.Background()),
		wake:   make(chan struct{}, 1),
		events: comfreyring.New[comfreyengine.CacheEvent](historySize),
		runs:   make(map[string]RunRecord),
	}
	e.reset()
	e.handler = e.routes()
	e.group.Go("step", e.run)
	return e
}

// Close stops the engine and drops its generations. Their connections end
// without a final event.
func (e *Engine) Close() error {
	e.Crash(forever)
	e.mu.Lock()
	if e.reclaim != nil {
		e.reclaim.Stop()
	}
	e.mu.Unlock()
	e.group.Stop()
	return e.group.Wait()
}

// reset gives the engine empty memory and the identity of its incarnation. The
// caller holds e.mu or is the constructor.
func (e *Engine) reset() {
	c := e.config
	e.identity = fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", c.Name, c.Seed, e.incarnation))))
	e.counter = 0
	e.batch = batch{capacityTokens: c.CapacityTokens, prefillTokens: c.PrefillTokens, size: c.BatchSize, observe: e.preempted}
	e.cache = newPrefixCache(c.CacheTokens, e.publishCacheEvent)
	e.generations = make(map[string]*generation)
	e.loader.state = comfreyengine.State{Model: c.Model, Role: c.Role}
}

// Identity returns the identity of the engine's incarnation. Every generation
// id opens with it.
func (e *Engine) Identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.identity
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

func (e *Engine) routes() http.Handler {
	m := chi.NewRouter()
	m.Group(e.routePublished)
	m.Route("/fake", e.routeFake)
	return m
}

// routePublished routes the engine's published API.
func (e *Engine) routePublished(m chi.Router) {
	m.Use(comfreyfakeserver.DropWhile(e.isDown))
	m.Post("/v1/completions", e.serveCompletion)
	m.Post("/v1/chat/completions", e.serveCompletion)
	m.Get("/v1/generations/{id}", e.serveResume)
	m.Delete("/v1/generations/{id}", e.serveCancel)
	m.Get("/v1/load", e.serveLoad)
	m.Get("/v1/cache-events", e.serveCacheEvents)
	m.Get("/v1/state", e.serveState)
	m.Post("/v1/orders", e.serveOrder)
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// routeFake routes the ground truth and the failure switches. They work while
// the engine is down.
func (e *Engine) routeFake(m chi.Router) {
	m.Get("/runs", e.serveRuns)
	m.Get("/orders", e.serveOrders)
	m.Post("/crash", comfreyfakeserver.Timed("down", e.Crash))
	m.Post("/reclaim", comfreyfakeserver.Timed("notice", e.Reclaim))
	m.Post("/stall", comfreyfakeserver.Switch(e.Stall))
	m.Post("/resume", comfreyfakeserver.Switch(e.Resume))
	m.Post("/preempt", comfreyfakeserver.Switch(func() { e.Preempt() }))
	m.Post("/load-missing", comfreyfakeserver.Switch(func() { e.SetLoadMissing(true) }))
	m.Post("/load-present", comfreyfakeserver.Switch(func() { e.SetLoadMissing(false) }))
}

type errorBody struct {
	Error errorMessage `json:"error"`
}

type errorMessage struct {
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	comfreyfakeserver.WriteJSON(w, status, errorBody{Error: errorMessage{Message: message}})
}
