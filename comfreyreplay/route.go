package comfreyreplay

import "time"

// route lets a call's gateway pick a replica.
func (f *fleet) route(c *call) {
	g := f.gateways[c.gateway]
	f.refreshHints(g)
	q := Query{Now: f.now, DataCentre: c.record.DataCentre, Prefix: c.record.Prefix, PromptTokens: c.record.PromptTokens, Tried: c.tried}
	n := f.setup.Choose(f.source, q, g.hints)
	if n < 0 {
		f.end(c, endingGivenUp)
		return
	}
	f.send(c, n)
}

// send passes a call to a replica.
func (f *fleet) send(c *call, n int) {
	c.attempts++
	f.gateways[c.gateway].hints[n].Sent++
	f.events.add(event{at: f.now + f.latency(c.gateway, n), kind: eventDeliver, call: c, replica: n})
}

// refreshHints sets the ages of a gateway's hints, and the loads if reports
// take no time.
func (f *fleet) refreshHints(g *gateway) {
	for n := range g.hints {
		h := &g.hints[n]
		if f.setup.ReportInterval == 0 && !f.replicas[n].silent {
			h.Load = f.replicas[n].controller.Load()
			h.Sent = 0
			g.reported[n] = f.now
		}
		h.Age = f.now - g.reported[n]
	}
}

// report lets a gateway hear of a replica.
func (f *fleet) report(g, n int) {
	if !f.replicas[n].silent {
		h := &f.gateways[g].hints[n]
		h.Load = f.replicas[n].controller.Load()
		h.Sent = 0
		f.gateways[g].reported[n] = f.now
	}
	if f.active() {
		f.events.add(event{at: f.now + f.setup.ReportInterval, kind: eventReport, replica: n, epoch: g})
	}
}

// refused lets a gateway try another replica, or pass the refusal on.
func (f *fleet) refused(c *call, n int) {
	c.tried = append(c.tried, n)
	if f.replicas[n].down {
		c.attempts-- // a refused dial costs no attempt
	}
	if c.attempts < gatewayAttempts && len(c.tried) < len(f.replicas) {
		f.route(c)
		return
	}
	f.collect.result.Refusals++
	at := f.now + c.promised
	if c.promised <= 0 || c.givesUp(at) || c.returned >= maxReturns {
		f.end(c, endingGivenUp)
		return
	}
	c.booked = n
	if f.replicas[n].down {
		c.booked = -1
	}
	f.events.add(event{at: at, kind: eventReturn, call: c})
}

// comeBack lets a caller ask again as it was told.
func (f *fleet) comeBack(c *call) {
	f.collect.result.Followed++
	c.returned++
	c.attempts = gatewayAttempts - 1
	c.tried = c.tried[:0]
	if c.booked < 0 {
		c.attempts = 0
		f.route(c)
		return
	}
	f.send(c, c.booked)
}

// end ends a call.
func (f *fleet) end(c *call, e ending) {
	f.open--
	f.collect.ended(c, e)
}

// patienceEnd returns when the caller gives up.
func (c *call) patienceEnd() time.Time {
	return origin.Add(c.record.At + c.record.Patience)
}
