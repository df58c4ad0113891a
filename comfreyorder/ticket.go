// Package comfreyorder decides how often a non-idempotent order runs: at most
// once. A caller mints a ticket, which names the one sidecar incarnation that
// may ever run the order, and then puts the order's body on the ticket as
// often as it likes. The package holds the state of one owner and the rules of
// a gateway; it uses no socket and no clock.
package comfreyorder

import (
	"crypto/rand"
	"time"
)

// maxNameBytes bounds each of the names that a ticket carries.
const maxNameBytes = 255

// Nonce identifies a ticket among all tickets of all incarnations. It is drawn
// at random, so that two incarnations that were given the same number by
// mistake still do not share tickets.
type Nonce [16]byte

// RandomNonce returns a nonce from the system's secure random source.
func RandomNonce() Nonce {
	var n Nonce
	// Read never returns an error: it ends the process if the source fails.
	rand.Read(n[:])
	return n
}

// Ticket names an order and its only possible owner. A Ticket is an immutable
// value; only Owner.Mint makes one that an owner accepts.
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
	// Expiry is when an order that has not begun can no longer begin, by the
	// owner's clock and in whole milliseconds.
	Expiry time.Time
}

// Equal reports whether t and u are the same ticket.
func (t Ticket) Equal(u Ticket) bool {
	e := t.Expiry.Equal(u.Expiry)
	t.Expiry = u.Expiry
	return e && t == u
}

// PresentedTicket is a ticket with the authenticated identity of whoever presents it.
type PresentedTicket struct {
	// Ticket is the parsed ticket.
	Ticket Ticket
	// Customer is the customer that the gateway authenticated.
	Customer string
	// Service is the service that the request's path names.
	Service string
}

// IsAuthorized reports whether the ticket was minted for the customer and service
// that present it.
func (c PresentedTicket) IsAuthorized() bool {
	return c.Ticket.Customer == c.Customer && c.Ticket.Service == c.Service
}
