package comfreyratelimit

import "time"

const (
	// returnShare is the part of the time it has left for which a caller waits before
	// it sends its request again.
	returnShare = 1.0 / 3
	// reportShare is the part of a rate that load reports may use.
	reportShare = 0.1
)

// MaxReturnWait returns for how long a caller waits at most before it sends its request
// again, given the time that it has left. A place that is kept for longer stays unused.
func MaxReturnWait(left time.Duration) time.Duration {
	return max(time.Duration(returnShare*float64(left)), 0)
}

// ReportProbability returns with which probability a gateway fetches a load report when
// one is due, so that all gateways together use a small part of the rate. The interval
// is that at which one of them fetches the reports of a replica without a rate limit.
//
// It is built for this load: an engine in need takes two requests a second, and its
// load reports are as many.
func ReportProbability(perSecond float64, interval time.Duration, gateways int) float64 {
	return min(reportShare*perSecond*interval.Seconds()/float64(max(gateways, 1)), 1)
}
