package comfreygateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// metrics holds the collectors of a gateway except for the decision counters,
// which the recorder holds.
type metrics struct {
	requests          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	firstToken        prometheus.Histogram
	interToken        prometheus.Histogram
	resumes           prometheus.Counter
	silentConnections prometheus.Counter
	duplicateFrames   prometheus.Counter
	foreignFrames     prometheus.Counter
	frameGaps         prometheus.Counter
	reportFailures    prometheus.Counter
}

func newMetrics(r *prometheus.Registry, g *Gateway) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_gateway_requests_total",
			Help: "Generation requests by outcome, verdict and reason.",
		}, []string{"outcome", "verdict", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_gateway_retries_total",
			Help: "Retries by reason, and whether the budget allowed them.",
		}, []string{"reason", "allowed"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "comfrey_gateway_first_token_seconds",
			Help:    "Time from the acceptance of a request to its first token.",
			Buckets: []float64{.01, .02, .05, .1, .2, .3, .47, .7, 1, 2, 5, 10, 30, 60},
		}),
		interToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "comfrey_gateway_inter_token_seconds",
			Help:    "Time between two tokens of one response.",
			Buckets: []float64{.001, .005, .01, .015, .02, .028, .04, .06, .1, .2, .5, 1, 5, 30},
		}),
		resumes:           counter("comfrey_gateway_resumes_total", "Connections opened to resume a stream from a sidecar."),
		silentConnections: counter("comfrey_gateway_silent_connections_total", "Connections to sidecars closed because nothing arrived within the silence timeout."),
		duplicateFrames:   counter("comfrey_gateway_duplicate_frames_total", "Frames dropped because they were already delivered."),
		foreignFrames:     counter("comfrey_gateway_foreign_frames_total", "Frames dropped because they belong to another generation."),
		frameGaps:         counter("comfrey_gateway_frame_gaps_total", "Streams resumed because frames were missing."),
		reportFailures:    counter("comfrey_gateway_report_failures_total", "Reports to sidecars that failed."),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "comfrey_gateway_open_requests",
		Help: "Accepted requests that have not ended.",
	}, func() float64 { return float64(g.requestTracker.Totals().Open) })
	r.MustRegister(m.requests, m.retries, m.firstToken, m.interToken, m.resumes, m.silentConnections,
		m.duplicateFrames, m.foreignFrames, m.frameGaps, m.reportFailures, open,
		g.recorder.Counter(), comfreyinvariant.Violations)
	return m
}

// countRetry counts one retry decision by its reason.
func (m *metrics) countRetry(r comfreyverdict.Reason, allowed bool) {
	label := "false"
	if allowed {
		label = "true"
	}
	m.retries.WithLabelValues(string(r), label).Inc()
}

// countRequest counts one generation request that ended.
func (m *metrics) countRequest(e comfreyverdict.Error, o comfreystream.Outcome) {
	m.requests.WithLabelValues(o.String(), e.Verdict.String(), string(e.Reason)).Inc()
}
