// Package comfreyadmin serves the endpoints for operators that every process
// has: health, readiness, metrics and recent decisions.
package comfreyadmin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyridge.example/comfreyridge/comfreydecision"
)

// Config holds what the endpoints report on.
type Config struct {
	// Recorder holds the decisions that /debug/decisions serves.
	Recorder *comfreydecision.Recorder
	// Registry holds the metrics.
	Registry *prometheus.Registry
	// Ready returns nil if the process takes new work, or the reason why not.
	Ready func() error
	// Explain returns the decisions of all processes on one request. It is
	// nil where the process knows no others.
	Explain func(r *http.Request, request string) []comfreydecision.Decision
}

// NewHandler returns the handler of the endpoints. It is safe for concurrent
// use.
func NewHandler(c Config) http.Handler {
	m := chi.NewRouter()
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	m.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ServeReady(w, c.Ready)
	})
	m.Handle("/metrics", promhttp.HandlerFor(c.Registry, promhttp.HandlerOpts{}))
	m.Get("/debug/decisions", func(w http.ResponseWriter, r *http.Request) {
		serveDecisions(w, r, c)
	})
	m.HandleFunc("/debug/pprof/*", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return m
}

// ServeReady answers a readiness check: 200 if ready returns nil, 503 with the
// reason if not.
func ServeReady(w http.ResponseWriter, ready func() error) {
	if err := ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveDecisions answers with one JSON object a line. The query parameter
// "request" selects one request, and "fleet=true" asks the other processes too.
func serveDecisions(w http.ResponseWriter, r *http.Request, c Config) {
	request := r.URL.Query().Get("request")
	s := c.Recorder.ForRequest(request)
	if r.URL.Query().Get("fleet") == "true" && c.Explain != nil {
		s = append(s, c.Explain(r, request)...)
	}
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for _, d := range s {
		if err := e.Encode(d); err != nil {
			return
		}
	}
}
