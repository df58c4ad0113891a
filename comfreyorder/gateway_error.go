package comfreyorder

import "comfreyridge.example/comfreyridge/comfreyverdict"

// Operation is a request that a gateway sends to the owner of a ticket.
type Operation int

// The operations.
const (
	// OperationPut submits the body of an order with its ticket.
	OperationPut Operation = iota
	// OperationMint mints a ticket.
	OperationMint
	// OperationVoid voids a ticket.
	OperationVoid
	// OperationState reads the state of an order.
	OperationState
)

// NoResponseError returns the error that a gateway sends to the caller if the
// owner of the ticket did not respond, for example because the dial was refused
// or the connection was lost. Its verdict is about the order and not about one
// attempt: an earlier PUT may have reached the owner through another gateway,
// so a gateway alone never reports not-run for an existing ticket. A mint
// without a response is not-run, because nobody holds its ticket. An
// out-of-range operation is treated as OperationPut.
func NoResponseError(p Operation, r comfreyverdict.Reason) comfreyverdict.Error {
	if p == OperationMint {
		return comfreyverdict.NotRun(r, "no ticket was received; mint another one")
	}
	return comfreyverdict.MayHaveRun(r, "the owner of the ticket did not respond; repeat the request with the same ticket")
}

// InvalidTicketError returns the error that the caller gets if ParseTicket
// returned err. Its verdict is may-have-run: the order may have run with a
// ticket whose key or version is no longer in use.
func InvalidTicketError(err error) comfreyverdict.Error {
	return comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketInvalid, err.Error())
}
