// Package comfreyfakeapplication is a small stand-in for a plain service that
// takes orders which must not run twice. It counts every run of every order,
// echoes requests, and fails on demand.
package comfreyfakeapplication

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// maxBodyBytes bounds the bodies that the application reads.
const maxBodyBytes = 4 << 20

// defaultCapacity is the default of Config.Capacity.
const defaultCapacity = 64

// Config holds the settings of an Application. The zero value of each field
// selects its default.
type Config struct {
	// OrderTime is how long an order runs; the default is no time.
	OrderTime time.Duration
	// Capacity is the number of concurrent requests that the load report
	// states; the default is 64.
	Capacity int
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Application is one application stand-in. It is an http.Handler and safe for
// concurrent use.
type Application struct {
	config  Config
	handler http.Handler

	mu        sync.Mutex
	runs      map[string]RunRecord
	running   int
	crashes   int
	failure   FailurePoint
	downUntil time.Time
	// died is closed by the next crash.
	died chan struct{}
}

// New returns an application.
func New(c Config) *Application {
	if c.Capacity <= 0 {
		c.Capacity = defaultCapacity
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	a := &Application{
		config: c,
		runs:   make(map[string]RunRecord),
		died:   make(chan struct{}),
	}
	a.handler = a.routes()
	return a
}

// ServeHTTP implements http.Handler.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.handler.ServeHTTP(w, r)
}

func (a *Application) routes() http.Handler {
	m := chi.NewRouter()
	m.Group(a.routePublished)
	m.Route("/fake", a.routeFake)
	return m
}

// routePublished routes the service itself.
func (a *Application) routePublished(m chi.Router) {
	m.Use(comfreyfakeserver.DropWhile(a.isDown), a.count)
	m.Post("/orders", a.serveOrder)
	m.HandleFunc("/echo", a.serveEcho)
	m.HandleFunc("/echo/*", a.serveEcho)
	m.Get("/load", a.serveLoad)
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// routeFake routes the ground truth and the failure switches. They work while
// the application is down.
func (a *Application) routeFake(m chi.Router) {
	m.Get("/runs", a.serveRuns)
	m.Post("/crash", comfreyfakeserver.Timed("down", a.Crash))
	m.Post("/fail-before-run", comfreyfakeserver.Switch(func() { a.FailNext(FailureBeforeRun) }))
	m.Post("/fail-after-run", comfreyfakeserver.Switch(func() { a.FailNext(FailureAfterRun) }))
}

// Load is a load report.
type Load struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// Load returns how many requests run.
func (a *Application) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Running: a.running, Capacity: a.config.Capacity}
}

func (a *Application) serveLoad(w http.ResponseWriter, _ *http.Request) {
	l := a.Load()
	l.Running-- // The report's own request is none of the load.
	comfreyfakeserver.WriteJSON(w, http.StatusOK, l)
}

// count keeps the number of requests that run.
func (a *Application) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.add(1)
		defer a.add(-1)
		next.ServeHTTP(w, r)
	})
}

func (a *Application) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running += n
}
