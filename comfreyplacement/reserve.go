package comfreyplacement

// reserveAbove is the part of a replica's memory from which on a generation
// reserves its room. Below it, even a few gateways that choose the same replica
// at once do not fill it.
const reserveAbove = 0.4

// ReservationTokens returns how much memory a generation reserves at a candidate
// before it is sent there, or zero if that is not needed.
//
// The load pattern that it answers: dozens of gateways wait for memory, see the
// same generation end and send their requests to the same replica. All but one
// of them would wait there for seconds, though another replica has room soon.
func ReservationTokens(c Candidate, n Demand) int {
	if memoryCost(c) < reserveAbove {
		return 0
	}
	return n.PromptTokens + int(expectedShare*n.ExpectedTokens)
}
