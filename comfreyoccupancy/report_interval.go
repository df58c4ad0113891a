package comfreyoccupancy

import "time"

const (
	// reportInterval is how often each engine's load report is fetched. Each
	// call has a price, and a report is half a second old on arrival. Between
	// reports, the gateways exchange their own placements by gossip.
	reportInterval = 4 * time.Second
	// reportIntervalPerGateway bounds the calls of all gateways of a cell together
	// to two or three a second for each engine.
	reportIntervalPerGateway = 400 * time.Millisecond
	// outageReportInterval is how often each engine's load report is fetched by
	// the gateways of a cell together while the store does not respond.
	outageReportInterval = 250 * time.Millisecond
	// outageReportAge is the store age from which on outageReportInterval is
	// used. Gateways wait 700 ms for a response of the store that does not change.
	outageReportAge = 950 * time.Millisecond
)

// heardPeriod is how long a response of an engine takes the place of a load report.
const heardPeriod = 3 * time.Second

// NeedsReport reports whether a load report that is due has to be fetched, given the
// time since any gateway of the cell received a response of the engine, and the store
// age. Where gateways tell each other of responses, an engine that responds all the time
// has no generations that they do not know, and the store tells which ones leave.
//
// It is built for this load: each of 45 engines begins a generation a second, and two
// dozen gateways together ask each of them for two or three reports a second.
func NeedsReport(sinceResponse, storeAge time.Duration) bool {
	return sinceResponse >= heardPeriod || storeAge > outageReportAge
}

// ReportInterval returns how often a gateway fetches the load report of each
// engine, given the number of gateways in its cell, which share the work, and the
// store age.
//
// It is built for this load: the store falls silent, and at the same moment a
// sixth of the engines begins to leave with 1.5 s of notice. Only the reports show
// it, and the generations there have to be copied before the engines end.
func ReportInterval(gateways int, storeAge time.Duration) time.Duration {
	n := time.Duration(gateways)
	if storeAge > outageReportAge {
		return n * outageReportInterval
	}
	return max(reportInterval, n*reportIntervalPerGateway)
}
