package comfreyplacement

// reservationThreshold is the utilization of a replica from which on a
// generation reserves memory before it is sent. Below it, the replica does not
// fill up even if a few gateways choose it at the same time.
const reservationThreshold = 0.4

// ReservationTokens returns how much memory a generation reserves at a
// candidate before it is sent there, or zero if it needs no reservation.
//
// It is built for this load: dozens of gateways have requests in their queues,
// see the same generation end and send their requests to the same replica. All
// but one of the requests would wait there for seconds, although another
// replica has free capacity soon.
func ReservationTokens(c Candidate, d Demand) int {
	if utilization(c) < reservationThreshold {
		return 0
	}
	return d.PromptTokens + int(expectedGrowthShare*d.ExpectedTokens)
}
