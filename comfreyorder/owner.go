package comfreyorder

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Owner holds the orders of one sidecar incarnation. Each method takes the
// time from a clock that keeps running while the process is paused; a clock
// that steps back is treated as standing still. An Owner is not safe for
// concurrent use.
type Owner struct {
	config        Config
	clock         clock
	now           time.Time
	isLeaving     bool
	records       map[Nonce]*record
	customers     map[string]int
	retirements   []retirement
	outcomes      []Nonce
	outcomesBytes int
}

// retirement is when a record is next looked at for removal.
type retirement struct {
	nonce Nonce
	at    time.Time
}

// NewOwner returns an owner without orders. Tickets of earlier incarnations
// are unknown to it for ever.
func NewOwner(c Config) *Owner {
	return &Owner{
		config:    c.withDefaults(),
		records:   map[Nonce]*record{},
		customers: map[string]int{},
	}
}

// Mint returns a new ticket. It returns a comfreyverdict.Error, which proves
// that nothing runs, if the owner is leaving, if the owner or the customer
// holds too many tickets, or if a name is longer than 255 bytes.
func (o *Owner) Mint(now time.Time, customer, service string) (Ticket, error) {
	o.advance(now)
	if o.isLeaving {
		return Ticket{}, comfreyverdict.NotRun(comfreyverdict.ReasonLeaving, "the upstream is leaving")
	}
	if max(len(customer), len(service), len(o.config.Host)) > maxNameBytes {
		return Ticket{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "a name is longer than 255 bytes")
	}
	if o.customers[customer] >= o.config.MaxCustomerTickets {
		return Ticket{}, o.full(comfreyverdict.ReasonCustomerLimit, "the customer holds %d tickets", o.customers[customer])
	}
	if len(o.records) >= o.config.MaxTickets {
		return Ticket{}, o.full(comfreyverdict.ReasonAdmissionFull, "the upstream holds %d tickets", len(o.records))
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
	o.customers[customer]++
	o.retirements = append(o.retirements, retirement{t.Nonce, t.Expiry.Add(o.config.Retention)})
	return t, nil
}

func (o *Owner) full(r comfreyverdict.Reason, format string, held int) error {
	d := o.config.Retention
	if len(o.retirements) > 0 {
		d = max(time.Second, o.retirements[0].at.Sub(o.now))
	}
	return comfreyverdict.NotRun(r, fmt.Sprintf(format, held)).WithRetryAfter(d)
}

// Begin decides on a PUT of a body on a ticket. It returns DecisionRun at most
// once for each ticket. The first body binds the ticket; a PUT of any other
// one is refused and leaves the first untouched.
func (o *Owner) Begin(now time.Time, c PresentedTicket, h BodyHash) BeginResult {
	o.advance(now)
	r, err := o.find(c)
	if err != nil {
		return BeginResult{Err: *err}
	}
	switch {
	case r.state == StateVoid:
		return r.answer()
	case r.state == StateMinted:
		r.state = StateBegun
		r.body = h
		return BeginResult{Decision: DecisionRun}
	case r.body != h:
		return BeginResult{Err: comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketBodyDiffers, "the ticket is bound to another body")}
	default:
		return r.answer()
	}
}

// Confirm must be called directly before the first byte of the order goes to
// the upstream, with the time read anew, and nothing may be sent unless it
// returns nil. It refuses an order that has expired or was voided since Begin,
// so that a process which was paused in between does not hand over late. Its
// refusal is final and proves that the order did not run; those that wait for
// the order are then to call Begin again.
func (o *Owner) Confirm(now time.Time, t Ticket) error {
	o.advance(now)
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketUnknown, "no record of the ticket")
	}
	o.expire(r)
	switch r.state {
	case StateBegun:
		r.handOver()
		return nil
	case StateVoid:
		return comfreyverdict.NotRun(r.reason, "the order was voided before it was handed over")
	default:
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonDuplicateRequest, "the order is "+r.state.String())
	}
}

// Complete records the outcome of an order that Confirm let go. An outcome
// with VerdictMayHaveRun is replaced by a later one with VerdictRan; any other
// second outcome is ignored, as is one of an order that was not handed over.
func (o *Owner) Complete(now time.Time, t Ticket, u Outcome) {
	o.advance(now)
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) || !r.hasBegun() {
		return
	}
	b := len(r.outcome.Body)
	r.complete(o.now, u)
	o.outcomesBytes += len(r.outcome.Body) - b
	if len(r.outcome.Body) > b {
		o.outcomes = append(o.outcomes, t.Nonce)
	}
	if len(r.outcome.Body) > o.config.MaxOutcomeBytes {
		o.dropBody(r)
	}
	o.boundOutcomes()
}

// Abandon voids an order that Begin let run and that Confirm has not let go
// yet, because the sidecar gives it up by itself. It does nothing in any other
// state.
func (o *Owner) Abandon(now time.Time, t Ticket, reason comfreyverdict.Reason) {
	o.advance(now)
	r := o.records[t.Nonce]
	if r != nil && r.ticket.Equal(t) && r.state == StateBegun {
		r.void(reason)
	}
}

// Void ends an order that has not been handed over, so that it never runs, and
// reports the state that results. An order that was handed over is left as it
// is.
func (o *Owner) Void(now time.Time, c PresentedTicket) (StateReport, error) {
	o.advance(now)
	r, err := o.find(c)
	if err != nil {
		return StateReport{}, *err
	}
	if r.state == StateMinted || r.state == StateBegun {
		r.void(comfreyverdict.ReasonTicketVoid)
	}
	return r.report(), nil
}

// State reports how far an order has come.
func (o *Owner) State(now time.Time, c PresentedTicket) (StateReport, error) {
	o.advance(now)
	r, err := o.find(c)
	if err != nil {
		return StateReport{}, *err
	}
	return r.report(), nil
}

// Leave voids every order that has not been handed over and makes the owner
// refuse to mint. It returns how many orders it voided.
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

// Running returns how many orders were handed over and have no outcome yet.
func (o *Owner) Running() int {
	n := 0
	for _, r := range o.records {
		if r.state == StateHandedOver {
			n++
		}
	}
	return n
}

// Len returns how many records the owner holds.
func (o *Owner) Len() int {
	return len(o.records)
}

// find returns the record of a claim, or the refusal of one that has none.
func (o *Owner) find(c PresentedTicket) (*record, *comfreyverdict.Error) {
	t := c.Ticket
	if !c.IsAuthorized() {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketCustomer, "the ticket belongs to another customer or service")
		return nil, &e
	}
	if t.OwnerHost != o.config.Host || t.OwnerIncarnation != o.config.Incarnation {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketOwnerGone, "the ticket belongs to another incarnation, whose memory is lost")
		return nil, &e
	}
	r := o.records[t.Nonce]
	if r == nil || !r.ticket.Equal(t) {
		e := comfreyverdict.MayHaveRun(comfreyverdict.ReasonTicketUnknown, "no record of the ticket; it has passed its retention")
		return nil, &e
	}
	o.expire(r)
	return r, nil
}

// expire voids a record that has not been handed over by its expiry.
func (o *Owner) expire(r *record) {
	if o.now.Before(r.ticket.Expiry) || (r.state != StateMinted && r.state != StateBegun) {
		return
	}
	r.void(comfreyverdict.ReasonTicketExpired)
}

// advance takes a reading of the clock and removes the records whose retention
// has passed.
func (o *Owner) advance(now time.Time) {
	o.now = o.clock.read(now)
	for len(o.retirements) > 0 && !o.now.Before(o.retirements[0].at) {
		n := o.retirements[0].nonce
		o.retirements = o.retirements[1:]
		r := o.records[n]
		at := r.completedAt.Add(o.config.Retention)
		if r.state == StateHandedOver {
			at = o.now.Add(o.config.Retention)
		}
		if at.After(o.now) {
			o.retirements = append(o.retirements, retirement{n, at})
			continue
		}
		o.remove(r)
	}
}

// boundOutcomes drops the oldest bodies until the kept ones fit, and forgets
// the bodies that went with their records.
func (o *Owner) boundOutcomes() {
	for len(o.outcomes) > 0 {
		r := o.records[o.outcomes[0]]
		isKept := r != nil && len(r.outcome.Body) > 0
		if isKept && o.outcomesBytes <= o.config.MaxTotalOutcomeBytes {
			return
		}
		if isKept {
			o.dropBody(r)
		}
		o.outcomes = o.outcomes[1:]
	}
}

func (o *Owner) remove(r *record) {
	o.dropBody(r)
	delete(o.records, r.ticket.Nonce)
	o.customers[r.ticket.Customer]--
	if o.customers[r.ticket.Customer] == 0 {
		delete(o.customers, r.ticket.Customer)
	}
}

func (o *Owner) dropBody(r *record) {
	if len(r.outcome.Body) == 0 {
		return
	}
	o.outcomesBytes -= len(r.outcome.Body)
	r.outcome.Body = nil
	r.bodyDropped = true
}
