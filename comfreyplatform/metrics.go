package comfreyplatform

import (
	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// collector exports the counters and the state of an agent.
type collector struct {
	agent *Agent
}

var (
	numberDesc    = prometheus.NewDesc("comfrey_config_revision", "Number of the active revision; 0 if none is active.", nil, nil)
	conflictDesc  = prometheus.NewDesc("comfrey_config_conflict", "1 while different content is known under the number of the active revision.", nil, nil)
	hostsDesc     = prometheus.NewDesc("comfrey_config_hosts", "Number of hosts in the newest host list.", nil, nil)
	outcomesDesc  = prometheus.NewDesc("comfrey_config_revisions_total", "Revisions received, by outcome.", []string{"reason"}, nil)
	callsDesc     = prometheus.NewDesc("comfrey_config_platform_calls_total", "Calls to the platform.", nil, nil)
	failuresDesc  = prometheus.NewDesc("comfrey_config_platform_failures_total", "Calls to the platform that failed.", nil, nil)
	exchangesDesc = prometheus.NewDesc("comfrey_config_exchanges_total", "Digest exchanges that this process started.", nil, nil)
	blobBytesDesc = prometheus.NewDesc("comfrey_config_blob_bytes_total", "Bytes of configuration received from peers.", nil, nil)
)

// Collector returns the agent's metrics.
func (a *Agent) Collector() prometheus.Collector {
	return collector{agent: a}
}

// Describe implements prometheus.Collector.
func (c collector) Describe(d chan<- *prometheus.Desc) {
	for _, x := range []*prometheus.Desc{numberDesc, conflictDesc, hostsDesc, outcomesDesc, callsDesc, failuresDesc, exchangesDesc, blobBytesDesc} {
		d <- x
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(m chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64) {
		m <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(numberDesc, float64(c.agent.Revision().Number))
	conflict := 0.0
	if c.agent.Digest().Conflict {
		conflict = 1
	}
	gauge(conflictDesc, conflict)
	gauge(hostsDesc, float64(len(c.agent.Hosts().Hosts)))
	s := c.agent.Stats()
	counter(outcomesDesc, s.Activated, string(comfreyverdict.ReasonConfigTaken))
	counter(outcomesDesc, s.Stale, string(comfreyverdict.ReasonConfigStale))
	counter(outcomesDesc, s.Conflicts, string(comfreyverdict.ReasonConfigConflict))
	counter(outcomesDesc, s.Invalid, string(comfreyverdict.ReasonConfigInvalid))
	counter(outcomesDesc, s.Corrupt, string(comfreyverdict.ReasonConfigCorrupt))
	counter(callsDesc, s.PlatformCalls)
	counter(failuresDesc, s.PlatformFailures)
	counter(exchangesDesc, s.Exchanges)
	counter(blobBytesDesc, s.BlobBytes)
}
