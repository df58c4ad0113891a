// Package comfreydecision records the decisions of a process and their reasons:
// in the log, one line of key=value pairs each, in a counter by kind and
// reason, and in a bounded history that is served at /debug/decisions.
package comfreydecision

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreyring"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Kind classifies decisions. Its values are kebab case.
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

// Decision is a recorded decision with the values that it was based on.
type Decision struct {
	// At is the wall-clock time of the decision.
	At time.Time `json:"at"`
	// Process is the host name and role of the process that made the decision.
	Process string `json:"process"`
	// Request is the id of the request, or empty if the decision is not about a
	// request.
	Request string `json:"request"`
	// Kind is the kind of the decision.
	Kind Kind `json:"kind"`
	// Reason is the reason for the decision.
	Reason comfreyverdict.Reason `json:"reason"`
	// Figures are the values that the decision was based on. The keys are kebab
	// case.
	Figures map[string]any `json:"figures,omitempty"`
}

// historySize is the number of latest decisions that a process retains.
const historySize = 4096

// Config configures a Recorder. The zero value of each field selects its
// default.
type Config struct {
	// Process is the host name and role of this process, which every decision
	// carries.
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

// Counter returns the collector of the counter comfrey_decisions_total.
func (r *Recorder) Counter() prometheus.Collector {
	return r.counter
}

// Record logs, counts and retains a decision. The keys of figures are kebab
// case. The caller must not modify the map afterwards.
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

// ForRequest returns the retained decisions about a request, oldest first. An
// empty request selects all decisions.
func (r *Recorder) ForRequest(request string) []Decision {
	var s []Decision
	for _, d := range r.history.Snapshot() {
		if request == "" || d.Request == request {
			s = append(s, d)
		}
	}
	return s
}
