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
	// reconcilerStartDelay is how long after its start a sidecar sends its
	// first command. It ensures that the start seconds in the fencing numbers
	// of two incarnations differ.
	reconcilerStartDelay = 1500 * time.Millisecond
	// reconcilerLease is how long commands may be sent for a revision after a
	// query confirmed that it is the newest.
	reconcilerLease = 15 * time.Second
	// engineCallTimeout bounds one call of the reconciler to the engine.
	engineCallTimeout = 10 * time.Second
	// maxReconcilerWait bounds the time between two steps of the reconciler, so
	// that it detects a new revision.
	maxReconcilerWait = 500 * time.Millisecond
)

// The widths of the parts of the engine's fencing number, from the highest:
// revision, start time of the incarnation in seconds, command counter.
const (
	fencingRevisionBits = 24
	fencingSecondBits   = 30
	fencingCounterBits  = 10
	// fencingEpoch is the Unix time in seconds from which start times are
	// counted.
	fencingEpoch = 1_600_000_000
)

// fencingNumber packs a fencing number into the engine's 64-bit number. The
// packed numbers sort correctly for 16 million revisions, for starts until 2054
// and for 1,024 commands of one revision and incarnation.
func fencingNumber(f comfreyreconciler.FencingNumber) uint64 {
	second := uint64(comfreyfleet.Incarnation(f.Incarnation).Start().Unix() - fencingEpoch)
	n := f.Revision & (1<<fencingRevisionBits - 1)
	n = n<<fencingSecondBits | second&(1<<fencingSecondBits-1)
	return n<<fencingCounterBits | f.Counter&(1<<fencingCounterBits-1)
}

// LatestRevision is the result of a query for the newest configuration
// revision.
type LatestRevision struct {
	// Number is the highest revision number among the responses.
	Number uint64
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
}

// runReconciler sends commands to the engine until ctx is done, so that it
// reaches the state that the configuration requires.
func (s *Sidecar) runReconciler(ctx context.Context) error {
	if !comfreygroup.Sleep(ctx, reconcilerStartDelay) {
		return nil
	}
	m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{
		Incarnation:       uint64(s.config.Incarnation),
		IsFencingEnforced: s.config.Fencing == comfreyfleet.FencingEnforced,
		Start:             s.config.Incarnation.Start(),
	})
	for ctx.Err() == nil {
		if v, ok := s.config.service(); !ok || v.Kind != comfreyconfig.ServiceKindGeneration {
			comfreygroup.Sleep(ctx, maxReconcilerWait)
			continue
		}
		s.updateDesiredState(m)
		s.performAction(ctx, m, m.Next(s.config.Now()))
	}
	return nil
}

// updateDesiredState passes the active settings to the reconciler.
func (s *Sidecar) updateDesiredState(m *comfreyreconciler.Reconciler) {
	d := s.config.Digest()
	u, ok := s.config.Settings().Upstream(s.config.Service)
	if d == nil || !ok {
		return
	}
	m.SetDesiredState(d.Number, comfreyreconciler.State{Model: u.Model, Version: u.Version, Adapter: u.Adapter, Role: u.Role})
	perSecond := s.config.Settings().Limits().WeightLoadsPerMinute / 60
	m.SetLoadSchedule(comfreyreconciler.NewLoadSchedule(s.config.Host, s.quarantine.hosts(), perSecond))
}

// performAction performs one action of the reconciler.
func (s *Sidecar) performAction(ctx context.Context, m *comfreyreconciler.Reconciler, a comfreyreconciler.Action) {
	switch a.Kind {
	case comfreyreconciler.ActionRevalidate:
		c, ok := s.config.QueryLatestRevision(ctx)
		if !ok {
			comfreygroup.Sleep(ctx, maxReconcilerWait)
			return
		}
		m.ObserveRevision(c.Number)
		m.RenewLease(c.Number, c.QueriedAt.Add(reconcilerLease))
		if d := s.config.Digest(); d != nil && d.Number < c.Number {
			comfreygroup.Sleep(ctx, maxReconcilerWait)
		}
	case comfreyreconciler.ActionReadBack:
		s.readEngineState(ctx, m)
	case comfreyreconciler.ActionSend:
		s.sendCommand(ctx, m, a.Command)
	case comfreyreconciler.ActionWait:
		comfreygroup.Sleep(ctx, min(max(a.Until.Sub(s.config.Now()), 0), maxReconcilerWait))
	default:
		<-ctx.Done()
	}
}

func (s *Sidecar) readEngineState(ctx context.Context, m *comfreyreconciler.Reconciler) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	sent := s.config.Now()
	x, err := s.engine.State(ctx)
	if err != nil {
		comfreygroup.Sleep(ctx, maxReconcilerWait)
		return
	}
	m.Observe(sent, comfreyreconciler.Observation{
		State:  comfreyreconciler.State{Model: x.Model, Version: x.Version, Adapter: x.Adapter, Role: x.Role},
		IsBusy: x.Pending != nil,
	})
}

// sendCommand sends one command, unless the process was paused or a newer
// revision was observed since the reconciler chose it.
func (s *Sidecar) sendCommand(ctx context.Context, m *comfreyreconciler.Reconciler, o comfreyreconciler.Command) {
	if !m.BeginSend(s.config.Now(), o) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	x := engineCommand(o)
	_, err := s.engine.SendCommand(ctx, x)
	m.RecordSent(s.config.Now(), o.FencingNumber)
	m.RecordResult(o.FencingNumber, commandResult(err), comfreyreconciler.FencingNumber{})
	reason := comfreyverdict.ReasonAccepted
	if err != nil {
		reason = comfreyverdict.From(err).Reason
	}
	s.recorder.Record("", comfreydecision.KindMove, reason, map[string]any{"order": x.Kind, "value": x.Value, "fencing-number": x.FencingNumber, "revision": o.FencingNumber.Revision})
}

// engineCommand converts a command to the engine's protocol, in which a model
// is followed by an @ sign and its version.
func engineCommand(o comfreyreconciler.Command) comfreyengine.Command {
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

func commandResult(err error) comfreyreconciler.Result {
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
