package comfreyforward

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyserver"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// latencyBuckets cover responses of applications (tens of milliseconds) and
// complete generations (tens of seconds).
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.8, 3, 6, 12, 25, 40}

// metrics are the metrics of a gateway, apart from the counter of decisions.
type metrics struct {
	responses    *prometheus.HistogramVec
	firstEvent   prometheus.Histogram
	longestPause prometheus.Histogram
	connections  prometheus.Counter
	storeCalls   prometheus.Counter
	// pauses counts responses that asked for a pause, and announcements replicas
	// that said in a response that they leave.
	pauses, announcements prometheus.Counter
	// replaced counts replicas whose addresses were found to have another owner.
	replaced prometheus.Counter
	// rateLimits counts changes of the rate limits of replicas.
	rateLimits prometheus.Counter
	// evacuations counts changes of evacuations by state, and leftBehind generations
	// that could not be moved away in time.
	evacuations *prometheus.CounterVec
	leftBehind  prometheus.Counter
	// returns counts callers who have returned after a refusal, by what became of
	// their request.
	returns *prometheus.CounterVec
	// unanswered counts connections that ended after a request was read, at least in
	// part, that the gateway did not handle, by cause.
	unanswered *prometheus.CounterVec
	gauges     []prometheus.Collector
}

func newMetrics(g *Gateway) *metrics {
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	return &metrics{
		responses: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfrey_forward_answer_seconds", Help: "Time to the end of a response, by kind of route and status.", Buckets: latencyBuckets,
		}, []string{"kind", "status"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfrey_forward_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}),
		longestPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfrey_forward_longest_pause_seconds", Help: "Longest time between two events of a stream.", Buckets: latencyBuckets,
		}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_connections_total", Help: "Connections opened to replicas and the store."}),
		storeCalls:  prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_store_calls_total", Help: "Calls to the platform's store."}),
		rateLimits:  prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_rate_limits_total", Help: "Changes of the rate limits that replicas name."}),
		evacuations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_forward_evacuations_total", Help: "Changes of evacuations of data centres, by state.",
		}, []string{"state"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_forward_returns_total", Help: "Callers who have returned after a refusal, by outcome.",
		}, []string{"outcome"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfrey_forward_unanswered_total", Help: "Connections that ended after at least a part of a request was read that was not handled, by cause.",
		}, []string{"cause"}),
		leftBehind:    prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_left_behind_total", Help: "Generations that could not be moved out of an evacuated data centre."}),
		pauses:        prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_pauses_total", Help: "Responses of replicas that asked for a pause."}),
		announcements: prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_leaving_announced_total", Help: "Replicas that announced in a response that they leave."}),
		replaced:      prometheus.NewCounter(prometheus.CounterOpts{Name: "comfrey_forward_replaced_total", Help: "Replicas at whose addresses another one responded."}),
		gauges: []prometheus.Collector{
			gauge("comfrey_forward_streams", "Open streams.", func() float64 { return float64(g.streamCount()) }),
			gauge("comfrey_forward_replicas", "Replicas that accept new work.", func() float64 { return float64(g.ReplicaCount()) }),
			gauge("comfrey_forward_evacuated_data_centres", "Data centres to which nothing is sent.", func() float64 { return float64(g.evacuatedCount()) }),
			gauge("comfrey_forward_cold_replicas", "Replicas that are cold.", func() float64 { return float64(g.coldCount()) }),
			gauge("comfrey_forward_configuration_version", "Version of the active configuration, zero if there is none.", func() float64 {
				if t := g.table.Load(); t != nil {
					return float64(t.Version())
				}
				return 0
			}),
			gauge("comfrey_forward_store_era", "Era of the store cache, zero if the store reports none.", func() float64 { return float64(g.StoreVersion().Era) }),
			gauge("comfrey_forward_store_age_seconds", "Time since the store cache was last known to be current, -1 if it never was.", func() float64 {
				age, ok := g.StoreAge()
				if !ok {
					return -1
				}
				return age.Seconds()
			}),
		},
	}
}

// Collectors returns the collectors of the gateway's metrics.
func (g *Gateway) Collectors() []prometheus.Collector {
	m := g.metrics
	return append([]prometheus.Collector{m.responses, m.firstEvent, m.longestPause, m.connections, m.storeCalls, m.pauses, m.announcements, m.replaced, m.rateLimits, m.evacuations, m.leftBehind, m.returns, m.unanswered}, m.gauges...)
}

// CountConnection counts a connection that was opened to a replica or the
// store.
func (g *Gateway) CountConnection(string) {
	g.metrics.connections.Inc()
}

// CountStoreCall counts a call to the store.
func (g *Gateway) CountStoreCall() {
	g.metrics.storeCalls.Inc()
}

// observeUnanswered records a connection that has ended without a response to what was
// read from it. Callers that leave are counted only.
func (g *Gateway) observeUnanswered(u comfreyserver.Unanswered) {
	g.metrics.unanswered.WithLabelValues(u.Cause).Inc()
	if u.Cause == comfreyserver.CauseCaller {
		return
	}
	g.record("", comfreydecision.KindFinish, comfreyverdict.ReasonAnswerCut, map[string]any{
		"detail": "connection ended before its request was handled", "cause": u.Cause, "read-bytes": u.Bytes, "after-ms": u.After.Milliseconds(), "age-ms": u.Age.Milliseconds(), "was-used": u.WasUsed, "stopping": g.isDraining.Load(),
	})
}

// observeResponse records the latency of a completed response.
func (g *Gateway) observeResponse(x *exchange, status int) {
	g.metrics.responses.WithLabelValues(x.route.Kind.String(), strconv.Itoa(status)).Observe(g.config.Now().Sub(x.started).Seconds())
}
