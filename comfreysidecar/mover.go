package comfreysidecar

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyreconciler"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// moverStart is how long after its start a sidecar sends its first order.
	// It makes the seconds of two incarnations' fencing numbers differ.
	moverStart = 1500 * time.Millisecond
	// moverLease is how long a confirmed revision may be acted on.
	moverLease = 15 * time.Second
	// moverCallTimeout bounds one call of the mover.
	moverCallTimeout = 10 * time.Second
	// maxMoverWait bounds the time until the mover looks again, so that a new
	// revision is noticed.
	maxMoverWait = 500 * time.Millisecond
)

// The bits of the engine's fencing number, from the highest: revision, second
// of the incarnation's start, order.
const (
	fenceRevisionBits = 24
	fenceSecondBits   = 30
	fenceCounterBits  = 10
	// fenceEpoch is the second from which starts are counted.
	fenceEpoch = 1_600_000_000
)

// fencingNumber packs a fence into the engine's 64-bit number. The order is
// kept for 16 million revisions, for starts until 2054 and for 1,024 orders of
// one revision and incarnation.
func fencingNumber(f comfreyreconciler.FencingNumber) uint64 {
	second := uint64(comfreyfleet.Incarnation(f.Incarnation).Start().Unix() - fenceEpoch)
	n := f.Revision & (1<<fenceRevisionBits - 1)
	n = n<<fenceSecondBits | second&(1<<fenceSecondBits-1)
	return n<<fenceCounterBits | f.Counter&(1<<fenceCounterBits-1)
}

// Confirmation says which revision was the newest one when it was asked for.
type Confirmation struct {
	// Revision is the number of the newest revision anybody answered with.
	Revision uint64
	// Asked is when the question was sent.
	Asked time.Time
}

// runMover keeps the upstream in the state that the configuration asks for,
// until ctx ends.
func (s *Sidecar) runMover(ctx context.Context) error {
	if !comfreygroup.Sleep(ctx, moverStart) {
		return nil
	}
	m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{
		Incarnation:       uint64(s.config.Incarnation),
		IsFencingEnforced: s.config.Fencing == comfreyfleet.FencingEnforced,
		Start:             s.config.Incarnation.Start(),
	})
	for ctx.Err() == nil {
		if v, ok := s.config.service(); !ok || v.Kind != comfreyconfig.ServiceKindGeneration {
			comfreygroup.Sleep(ctx, maxMoverWait)
			continue
		}
		s.retarget(m)
		s.move(ctx, m, m.Next(s.config.Now()))
	}
	return nil
}

// retarget hands the settings in force to the mover.
func (s *Sidecar) retarget(m *comfreyreconciler.Reconciler) {
	d := s.config.Digest()
	u, ok := s.config.Settings().Upstream(s.config.Service)
	if d == nil || !ok {
		return
	}
	m.SetDesiredState(d.Number, comfreyreconciler.State{Model: u.Model, Version: u.Version, Adapter: u.Adapter, Role: u.Role})
	perSecond := s.config.Settings().Limits().WeightLoadsPerMinute / 60
	m.SetLoadSchedule(comfreyreconciler.NewLoadSchedule(s.config.Host, s.quarantine.hosts(), perSecond))
}

// move carries out one action of the mover.
func (s *Sidecar) move(ctx context.Context, m *comfreyreconciler.Reconciler, a comfreyreconciler.Action) {
	switch a.Kind {
	case comfreyreconciler.ActionRevalidate:
		c, ok := s.config.Confirm(ctx)
		if !ok {
			comfreygroup.Sleep(ctx, maxMoverWait)
			return
		}
		m.ObserveRevision(c.Revision)
		m.RenewLease(c.Revision, c.Asked.Add(moverLease))
		if d := s.config.Digest(); d != nil && d.Number < c.Revision {
			comfreygroup.Sleep(ctx, maxMoverWait)
		}
	case comfreyreconciler.ActionReadBack:
		s.readBack(ctx, m)
	case comfreyreconciler.ActionSend:
		s.sendOrder(ctx, m, a.Command)
	case comfreyreconciler.ActionWait:
		comfreygroup.Sleep(ctx, min(max(a.Until.Sub(s.config.Now()), 0), maxMoverWait))
	default:
		<-ctx.Done()
	}
}

func (s *Sidecar) readBack(ctx context.Context, m *comfreyreconciler.Reconciler) {
	ctx, cancel := context.WithTimeout(ctx, moverCallTimeout)
	defer cancel()
	sent := s.config.Now()
	x, err := s.engine.State(ctx)
	if err != nil {
		comfreygroup.Sleep(ctx, maxMoverWait)
		return
	}
	m.Observe(sent, comfreyreconciler.Observation{
		State:  comfreyreconciler.State{Model: x.Model, Version: x.Version, Adapter: x.Adapter, Role: x.Role},
		IsBusy: x.Pending != nil,
	})
}

// sendOrder sends one order if the mover confirms it directly before.
func (s *Sidecar) sendOrder(ctx context.Context, m *comfreyreconciler.Reconciler, o comfreyreconciler.Command) {
	if !m.BeginSend(s.config.Now(), o) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moverCallTimeout)
	defer cancel()
	x := engineOrder(o)
	_, err := s.engine.SendCommand(ctx, x)
	m.RecordSent(s.config.Now(), o.FencingNumber)
	m.RecordResult(o.FencingNumber, orderResult(err), comfreyreconciler.FencingNumber{})
	reason := comfreyverdict.ReasonAccepted
	if err != nil {
		reason = comfreyverdict.From(err).Reason
	}
	s.recorder.Record("", comfreydecision.KindMove, reason, map[string]any{"order": x.Kind, "value": x.Value, "fencing-number": x.FencingNumber, "revision": o.FencingNumber.Revision})
}

// engineOrder converts an order to the engine's protocol, in which a model
// carries its version behind an @ sign.
func engineOrder(o comfreyreconciler.Command) comfreyengine.Command {
	x := comfreyengine.Command{FencingNumber: fencingNumber(o.FencingNumber)}
	switch o.Kind {
	case comfreyreconciler.CommandLoadModel:
		x.Kind, x.Value = comfreyengine.CommandLoadModel, o.Desired.Model+"@"+o.Desired.Version
	case comfreyreconciler.CommandLoadAdapter:
		x.Kind, x.Value = comfreyengine.CommandLoadAdapter, o.Desired.Adapter
	default:
		x.Kind, x.Value = comfreyengine.CommandChangeRole, o.Desired.Role
	}
	return x
}

func orderResult(err error) comfreyreconciler.Result {
	if err == nil {
		return comfreyreconciler.ResultAccepted
	}
	e := comfreyverdict.From(err)
	switch {
	case e.Reason == comfreyverdict.ReasonStaleFencingNumber:
		return comfreyreconciler.ResultFenced
	case e.Verdict == comfreyverdict.VerdictNotRun:
		return comfreyreconciler.ResultRefused
	default:
		return comfreyreconciler.ResultUnknown
	}
}
