// Package comfreydecision records what a process decided and why: a log line
// of key=value pairs, a counter by kind and reason, and a bounded history that
// /debug/decisions serves.
package comfreydecision

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyring"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Kind names the sort of a decision. It is kebab case.
type Kind string

// The kinds of decision.
const (
	KindRoute    Kind = "route"
	KindAdmit    Kind = "admit"
	KindQueue    Kind = "queue"
	KindRefuse   Kind = "refuse"
	KindRetry    Kind = "retry"
	KindPreempt  Kind = "preempt"
	KindSuspect  Kind = "suspect"
	KindResume   Kind = "resume"
	KindRevision Kind = "revision"
	KindOrder    Kind = "order"
	KindFinish   Kind = "finish"
	KindDrain    Kind = "drain"
	KindMove     Kind = "move"
	KindUpstream Kind = "upstream"
)

// Decision is one decision with the figures it was taken on.
type Decision struct {
	// At is the wall-clock time of the decision.
	At time.Time `json:"at"`
	// Process is the host name and role of the process that decided.
	Process string `json:"process"`
	// Request is the id of the request, empty if the decision is about none.
	Request string `json:"request"`
	// Kind is the sort of the decision.
	Kind Kind `json:"kind"`
	// Reason is the closed-set cause.
	Reason comfreyverdict.Reason `json:"reason"`
	// Figures are the values that the decision was taken on.
	Figures map[string]any `json:"figures,omitempty"`
}

// historySize is how many decisions a process keeps.
const historySize = 4096

// Config holds the parts of a Recorder. The zero value of each field selects
// its default.
type Config struct {
	// Process names this process in every decision.
	Process string
	// Logger receives the log lines; the default is logrus' standard logger.
	Logger *logrus.Logger
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// Recorder records decisions. It is safe for concurrent use.
type Recorder struct {
	config  Config
	history *comfreyring.Ring[Decision]
	counter *prometheus.CounterVec
}

// New returns a recorder.
func New(c Config) *Recorder {
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Recorder{
		config:  c,
		history: comfreyring.New[Decision](historySize),
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_decisions_total",
			Help: "Decisions by kind and reason.",
		}, []string{"kind", "reason"}),
	}
}

// Counter returns the collector of the decision counters.
func (r *Recorder) Counter() prometheus.Collector {
	return r.counter
}

// Record logs, counts and keeps one decision. The keys of figures are kebab
// case; the map belongs to the recorder afterwards.
func (r *Recorder) Record(request string, k Kind, reason comfreyverdict.Reason, figures map[string]any) {
	d := Decision{At: r.config.Now(), Process: r.config.Process, Request: request, Kind: k, Reason: reason, Figures: figures}
	r.history.Put(d)
	r.counter.WithLabelValues(string(k), string(reason)).Inc()
	f := logrus.Fields{"event": string(k), "process": d.Process, "request": request, "reason": string(reason)}
	for k, v := range figures {
		f[k] = v
	}
	r.config.Logger.WithFields(f).Info("decision")
}

// ForRequest returns the kept decisions on a request, oldest first. An empty
// request selects all.
func (r *Recorder) ForRequest(request string) []Decision {
	var s []Decision
	for _, d := range r.history.Snapshot() {
		if request == "" || d.Request == request {
			s = append(s, d)
		}
	}
	return s
}
