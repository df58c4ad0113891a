package comfreyorder

import "comfreyridge.example/comfreyridge/comfreyverdict"

// Operation is what a gateway asks of an owner.
type Operation int

// The operations.
const (
	// OperationPut puts a body on a ticket.
	OperationPut Operation = iota
	// OperationMint mints a ticket.
	OperationMint
	// OperationVoid voids a ticket.
	OperationVoid
	// OperationState reads the state of an order.
	OperationState
)

// NoResponseError returns what a gateway tells the caller when it has no answer
// of the owner, be it that the dial was refused, that the connection was lost
// or that the ticket cannot be read. A verdict speaks of the order and not of
// one attempt: an earlier PUT may have come through another gateway, so a
// gateway by itself never says not-run of a ticket that exists. A mint that
// got no answer is not-run, as nobody holds its ticket. An out-of-range
// operation counts as OperationPut.
func NoResponseError(p Operation, r comfreyverdict.Reason) comfreyverdict.Error {
	if p == OperationMint {
		return comfreyverdict.NotRun(r, "no ticket was received; mint another one")
	}
	return comfreyverdict.MayHaveRun(r, "the owner of the ticket did not answer; repeat the request on the same ticket")
}

// InvalidTicketError returns what a gateway tells the caller when ParseTicket
// returns an error. The ticket may be one that ran and was made with a key or
// by a version that is no longer in use.
func InvalidTicketError(err error) comfreyverdict.Error {
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketInvalid, err.Error())
}
