package comfreysidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// metrics holds the collectors that the sidecar updates itself.
type metrics struct {
	tokens          prometheus.Counter
	witnessFailures prometheus.Counter
}

func newMetrics(r *prometheus.Registry, s *Sidecar) *metrics {
	m := &metrics{
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfrey_sidecar_tokens_total",
			Help: "Tokens received from the upstream.",
		}),
		witnessFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfrey_sidecar_witness_failures_total",
			Help: "Calls to the witness of a request that failed.",
		}),
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	r.MustRegister(
		m.tokens,
		m.witnessFailures,
		s.recorder.Counter(),
		comfreyinvariant.Violations,
		gauge("comfrey_sidecar_running", "Generations running at the upstream.", func() float64 { return float64(s.admission.load.Load().Running) }),
		gauge("comfrey_sidecar_queued", "Requests queued for the upstream.", func() float64 { return float64(s.admission.load.Load().Queued) }),
		gauge("comfrey_sidecar_used_tokens", "Tokens of KV cache in use.", func() float64 { return float64(s.admission.load.Load().UsedTokens) }),
		gauge("comfrey_sidecar_capacity_tokens", "Capacity of the KV cache in tokens.", func() float64 { return float64(s.admission.load.Load().CapacityTokens) }),
		gauge("comfrey_sidecar_accepting", "1 while new work is accepted, 0 otherwise.", func() float64 {
			if s.Ready() == nil {
				return 1
			}
			return 0
		}),
		gauge("comfrey_sidecar_open_requests", "Accepted requests without an outcome.", func() float64 { return float64(s.requests.Totals().Open) }),
	)
	return m
}
