package comfreyorder

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Owner holds the orders of one sidecar incarnation. The time passed to its
// methods must come from a clock that keeps running while the process is
// paused; a clock that steps back is treated as standing still. An Owner is not
// safe for concurrent use.
type Owner struct {
	config          Config
	clock           clock
	now             time.Time
	isLeaving       bool
	records         map[Nonce]*record
	customerTickets map[string]int // the number of records by customer
	removals        []removal
	bodyNonces      []Nonce // records whose response body was retained, oldest first
	bodyBytes       int     // the size of all retained response bodies
}

// removal is a scheduled check whether a record can be removed.
type removal struct {
	nonce Nonce
	at    time.Time
}

// NewOwner returns an owner without orders. It never accepts tickets of earlier
// incarnations.
func NewOwner(c Config) *Owner {
	return &Owner{
		config:          c.withDefaults(),
		records:         map[Nonce]*record{},
		customerTickets: map[string]int{},
	}
}

// Mint returns a new ticket. It returns a comfreyverdict.Error with
// VerdictNotRun if the owner is leaving, if the owner or the customer has too
// many tickets, or if a name is longer than 255 bytes.
func (o *Owner) Mint(now time.Time, customer, service string) (Ticket, error) {
	o.advance(now)
	if o.isLeaving {
		return Ticket{}, comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the upstream is leaving")
	}
	if max(len(customer), len(service), len(o.config.Host)) > maxNameBytes {
		return Ticket{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the name of the customer, service or host is longer than 255 bytes")
	}
	if o.customerTickets[customer] >= o.config.MaxCustomerTickets {
		return Ticket{}, o.fullError(comfreyverdict.ReasonCustomerLimit, "the customer already has %d tickets", o.customerTickets[customer])
	}
	if len(o.records) >= o.config.MaxTickets {
		return Ticket{}, o.fullError(comfreyverdict.ReasonAdmissionFull, "the upstream already has %d tickets", len(o.records))
	}
	t := Ticket{
		OwnerHost:        o.config.Host,
		OwnerIncarnation: o.config.Incarnation,
		Nonce:            o.config.Nonce(),
		Customer:         customer,
		Service:          service,
		Expiry:           time.UnixMilli(o.now.Add(o.config.Lifetime).UnixMilli()),
	}
	if o.records[t.Nonce] != nil {
		return Ticket{}, comfreyverdict.NotRun(comfreyverdict.ReasonInternal, "the nonce is in use")
	}
	o.records[t.Nonce] = &record{ticket: t, state: StateMinted}
	o.customerTickets[customer]++
	o.removals = append(o.removals, removal{t.Nonce, t.Expiry.Add(o.config.Retention)})
	return t, nil
}

// fullError returns the refusal to mint if there are too many tickets. The
// retry-after time is when the next record is due for removal, but at least one
// second.
func (o *Owner) fullError(r comfreyverdict.Reason, format string, count int) error {
	d := o.config.Retention
	if len(o.removals) > 0 {
		d = max(time.Second, o.removals[0].at.Sub(o.now))
	}
	return comfreyverdict.NotRun(r, fmt.Sprintf(format, count)).WithRetryAfter(d)
}

// Begin decides what to do with a PUT of an order. It returns DecisionRun at
// most once for each ticket. The first PUT binds the ticket to its body; a PUT
// of another body is refused and does not affect the first.
func (o *Owner) Begin(now time.Time, p PresentedTicket, h BodyHash) BeginResult {
	o.advance(now)
	r, err := o.find(p)
	if err != nil {
		return BeginResult{Err: *err}
	}
	switch {
	case r.state == StateVoid:
		return r.result()
	case r.state == StateMinted:
		r.state = StateBegun
		r.bodyHash = h
		return BeginResult{Decision: DecisionRun}
	case r.bodyHash != h:
		return BeginResult{Err: comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketBodyDiffers, "the ticket is bound to another body")}
	default:
		return r.result()
	}
}

// Confirm must be called immediately before the first byte of the order is sent
// to the upstream, with a new reading of the clock, and nothing may be sent
// unless it returns nil. It refuses an order that has expired or was voided
// since Begin, so that a process that was paused in between does not forward
// the order late. An error with VerdictNotRun is final and proves that the
// order did not run; PUTs that wait for the order must then call Begin again.
func (o *Owner) Confirm(now time.Time, t Ticket) error {
	o.advance(now)
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketUnknown, "no record of the ticket")
	}
	o.expire(r)
	switch r.state {
	case StateBegun:
		r.forward()
		return nil
	case StateVoid:
		return comfreyverdict.NotRun(r.reason, "the order was voided before it was forwarded to the upstream")
	default:
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonDuplicateRequest, "the order is in state "+r.state.String())
	}
}

// Complete records the outcome of an order for which Confirm returned nil. A
// recorded outcome with VerdictMayHaveRun is replaced by a later one with
// VerdictRan; any other second outcome is ignored, as is the outcome of an
// order that was not forwarded.
func (o *Owner) Complete(now time.Time, t Ticket, u Outcome) {
	o.advance(now)
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) || !r.wasForwarded() {
		return
	}
	b := len(r.outcome.Body)
	r.complete(o.now, u)
	o.bodyBytes += len(r.outcome.Body) - b
	if len(r.outcome.Body) > b {
		o.bodyNonces = append(o.bodyNonces, t.Nonce)
	}
	if len(r.outcome.Body) > o.config.MaxOutcomeBytes {
		o.dropBody(r)
	}
	o.evictBodies()
}

// Abandon voids an order between Begin and Confirm, for a sidecar that does not
// execute it for a reason of its own. It does nothing in any other state.
func (o *Owner) Abandon(now time.Time, t Ticket, reason comfreyverdict.Reason) {
	o.advance(now)
	r := o.records[t.Nonce]
	if r != nil && r.ticket.Equal(t) && r.state == StateBegun {
		r.void(reason)
	}
}

// Void makes sure that an order that has not been forwarded never runs, and
// returns the resulting state. An order that was forwarded is left unchanged.
func (o *Owner) Void(now time.Time, p PresentedTicket) (StateReport, error) {
	o.advance(now)
	r, err := o.find(p)
	if err != nil {
		return StateReport{}, *err
	}
	if r.state == StateMinted || r.state == StateBegun {
		r.void(comfreyverdict.ReasonTicketVoid)
	}
	return r.report(), nil
}

// State returns the state of an order.
func (o *Owner) State(now time.Time, p PresentedTicket) (StateReport, error) {
	o.advance(now)
	r, err := o.find(p)
	if err != nil {
		return StateReport{}, *err
	}
	return r.report(), nil
}

// Leave voids every order that has not been forwarded and makes Mint refuse
// from then on. It returns the number of voided orders.
func (o *Owner) Leave(now time.Time) int {
	o.advance(now)
	o.isLeaving = true
	n := 0
	for _, r := range o.records {
		o.expire(r)
		if r.state == StateMinted || r.state == StateBegun {
			r.void(comfreyverdict.ReasonLeaving)
			n++
		}
	}
	return n
}

// Running returns the number of orders that were forwarded and have no outcome
// yet.
func (o *Owner) Running() int {
	n := 0
	for _, r := range o.records {
		if r.state == StateHandedOver {
			n++
		}
	}
	return n
}

// Len returns the number of records.
func (o *Owner) Len() int {
	return len(o.records)
}

// find returns the record of a ticket, or the refusal if the presenter is not
// authorized or there is no record.
func (o *Owner) find(p PresentedTicket) (*record, *comfreyverdict.Error) {
	t := p.Ticket
	if !p.IsAuthorized() {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketCustomer, "the ticket belongs to another customer or service")
		return nil, &e
	}
	if t.OwnerHost != o.config.Host || t.OwnerIncarnation != o.config.Incarnation {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketOwnerGone, "the ticket belongs to another sidecar incarnation, whose records are lost")
		return nil, &e
	}
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketUnknown, "no record of the ticket; its retention has passed")
		return nil, &e
	}
	o.expire(r)
	return r, nil
}

// expire voids an order that has not been forwarded by its ticket's expiry.
func (o *Owner) expire(r *record) {
	if o.now.Before(r.ticket.Expiry) || (r.state != StateMinted && r.state != StateBegun) {
		return
	}
	r.void(comfreyverdict.ReasonTicketExpired)
}

// advance sets the time from a reading of the clock and removes the records
// whose retention has passed. The record of an order that still runs is checked
// again after another retention period.
func (o *Owner) advance(now time.Time) {
	o.now = o.clock.read(now)
	for len(o.removals) > 0 && !o.now.Before(o.removals[0].at) {
		n := o.removals[0].nonce
		o.removals = o.removals[1:]
		r := o.records[n]
		at := r.completedAt.Add(o.config.Retention)
		if r.state == StateHandedOver {
			at = o.now.Add(o.config.Retention)
		}
		if at.After(o.now) {
			o.removals = append(o.removals, removal{n, at})
			continue
		}
		o.remove(r)
	}
}

// evictBodies drops the oldest response bodies until the retained ones fit into
// MaxTotalOutcomeBytes. It also drops the list entries of bodies that are no
// longer retained.
func (o *Owner) evictBodies() {
	for len(o.bodyNonces) > 0 {
		r := o.records[o.bodyNonces[0]]
		isRetained := r != nil && len(r.outcome.Body) > 0
		if isRetained && o.bodyBytes <= o.config.MaxTotalOutcomeBytes {
			return
		}
		if isRetained {
			o.dropBody(r)
		}
		o.bodyNonces = o.bodyNonces[1:]
	}
}

func (o *Owner) remove(r *record) {
	o.dropBody(r)
	delete(o.records, r.ticket.Nonce)
	o.customerTickets[r.ticket.Customer]--
	if o.customerTickets[r.ticket.Customer] == 0 {
		delete(o.customerTickets, r.ticket.Customer)
	}
}

func (o *Owner) dropBody(r *record) {
	if len(r.outcome.Body) == 0 {
		return
	}
	o.bodyBytes -= len(r.outcome.Body)
	r.outcome.Body = nil
	r.bodyDropped = true
}
