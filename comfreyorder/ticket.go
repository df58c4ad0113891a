// Package comfreyorder makes sure that a non-idempotent order runs at most
// once. A caller first mints a ticket. The ticket names its owner, the one
// sidecar incarnation that may run the order. The caller then sends the order's
// body in a PUT on the ticket, and may repeat the PUT any number of times. The
// package implements the state of an owner and the errors of a gateway. It uses
// no sockets and no clock: the time is passed to it.
package comfreyorder

import (
	"crypto/rand"
	"time"
)

// maxNameBytes limits each of the names in a ticket.
const maxNameBytes = 255

// Nonce identifies a ticket among the tickets of all incarnations. It is
// random, so that two incarnations that were given the same number by mistake
// still do not share tickets.
type Nonce [16]byte

// RandomNonce returns a nonce from the system's secure random source.
func RandomNonce() Nonce {
	var n Nonce
	// Read never returns an error: it terminates the process if the source fails.
	rand.Read(n[:])
	return n
}

// Ticket identifies an order and the only sidecar incarnation that may run it.
// A Ticket is an immutable value; an owner accepts only tickets that its Mint
// returned.
type Ticket struct {
	// OwnerHost is the host of the sidecar that minted the ticket.
	OwnerHost string
	// OwnerIncarnation is the incarnation of that sidecar.
	OwnerIncarnation uint64
	// Nonce identifies the ticket at its owner.
	Nonce Nonce
	// Customer is the only customer that may present the ticket.
	Customer string
	// Service is the only service that the order may go to.
	Service string
	// Expiry is the time, by the owner's clock and in whole milliseconds, from
	// which an order is void unless it was forwarded to the upstream before.
	Expiry time.Time
}

// Equal reports whether t and u are the same ticket.
func (t Ticket) Equal(u Ticket) bool {
	e := t.Expiry.Equal(u.Expiry)
	t.Expiry = u.Expiry
	return e && t == u
}

// PresentedTicket is a ticket with the authenticated identity of the caller
// that presents it.
type PresentedTicket struct {
	// Ticket is the parsed ticket.
	Ticket Ticket
	// Customer is the customer that the gateway authenticated.
	Customer string
	// Service is the service that the request's path names.
	Service string
}

// IsAuthorized reports whether the ticket was minted for the customer and the
// service of the request.
func (p PresentedTicket) IsAuthorized() bool {
	return p.Ticket.Customer == p.Customer && p.Ticket.Service == p.Service
}
