package comfreyplacement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// draftPauses are those of a draft on time: 180 ms at most between two events of four
// tokens.
var draftPauses = comfreyplacement.Pauses{Target: 180 * time.Millisecond, TokensPerEvent: 4}

// paces are those of a fast replica and of a slow one.
var (
	fastPace = comfreypace.Pace{Usual: 0.55, Now: 0.55, Slow: 1.375, IsKnown: true}
	slowPace = comfreypace.Pace{Usual: 1.2, Now: 1.2, Slow: 3, IsKnown: true}
)

func ExamplePauses() {
	l := []comfreyplacement.Candidate{candidate("slow", 9000), candidate("fast", 18000)}
	l[0].Pace, l[1].Pace = slowPace, fastPace
	l[0].Load.Running, l[0].Load.Decoding = 3, 3
	l[1].Load.Running, l[1].Load.Decoding = 6, 6
	d := comfreyplacement.Demand{PromptTokens: 3000, ExpectedTokens: 700}
	fmt.Println(l[comfreyplacement.ChooseForGeneration(l, d, noRandom)].ID)
	d.Pauses = draftPauses
	fmt.Println(l[comfreyplacement.ChooseForGeneration(l, d, noRandom)].ID)
	// Output:
	// slow
	// fast
}

// TestWithoutPacesPlacementsAreAsBefore checks that the target of pauses changes nothing
// where replicas state no paces.
func TestWithoutPacesPlacementsAreAsBefore(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 0))
	for range 2000 {
		var l []comfreyplacement.Candidate
		for i := range 6 {
			c := candidate(fmt.Sprint(i), r.IntN(capacity))
			c.Load.Running, c.Load.PendingPrefillTokens = r.IntN(8), r.IntN(9000)
			c.Load.Decoding = r.IntN(c.Load.Running + 1)
			l = append(l, c)
		}
		d := comfreyplacement.Demand{PromptTokens: r.IntN(6000), ExpectedTokens: 700, MaxPendingPrefillTokens: 6500, CopyTokensPerSecond: 18_310}
		with := d
		with.Pauses = draftPauses
		if a, b := comfreyplacement.ChooseForGeneration(l, d, noRandom), comfreyplacement.ChooseForGeneration(l, with, noRandom); a != b {
			t.Fatalf("expected the same placement, got %d and %d of %+v", a, b, l)
		}
		if a, b := comfreyplacement.ChooseMoveDestination(l, d, noRandom), comfreyplacement.ChooseMoveDestination(l, with, noRandom); a != b {
			t.Fatalf("expected the same destination, got %d and %d of %+v", a, b, l)
		}
	}
}

// TestMovedGenerationsLeaveSomeSlowReplicasEmpty checks that a generation moves to a
// slow replica where others keep prompts away, and not to one where a prompt is read.
func TestMovedGenerationsLeaveSomeSlowReplicasEmpty(t *testing.T) {
	l := []comfreyplacement.Candidate{candidate("full", 26000), candidate("empty", 0), candidate("some", 3000), candidate("reading", 3000)}
	l[0].Pace = fastPace
	for i := 1; i < 4; i++ {
		l[i].Pace = slowPace
	}
	l[2].Load.Decoding, l[2].Load.Running = 2, 2
	l[3].Load.Decoding, l[3].Load.Running, l[3].Load.PendingPrefillTokens = 2, 2, 3000
	m := []comfreyplacement.Movable{{From: 0, Tokens: 3500, RemainingTokens: 600, Pauses: draftPauses}}
	if _, d := comfreyplacement.ChooseRebalancingMove(l, m); d != 2 {
		t.Errorf("expected a move to the replica with others (2), got %d", d)
	}
	m[0].Pauses = comfreyplacement.Pauses{}
	if _, d := comfreyplacement.ChooseRebalancingMove(l, m); d != 1 {
		t.Errorf("without a target of pauses: expected a move to the empty replica (1), got %d", d)
	}
}

// pausingEngine is an engine that works at a pace of its own, with slow moments. It
// records when its generations get their events.
type pausingEngine struct {
	pace    comfreypace.Pace
	isSlow  bool
	now     time.Duration
	queue   []*pausedGeneration
	running []*pausedGeneration
}

type pausedGeneration struct {
	prompt, unread, length, generated int
	arrived, latest                   time.Duration
	isLate                            bool
}

// runUntil runs the steps of the engine up to a time.
func (e *pausingEngine) runUntil(now time.Duration) {
	for e.now < now && len(e.queue)+len(e.running) > 0 {
		read := 0
		if len(e.queue) > 0 {
			read = min(112, e.queue[0].unread)
		}
		pace := e.pace.Usual
		if e.isSlow {
			pace = e.pace.Slow
		}
		millis := (7 + 0.12*float64(len(e.running)) + float64(read)/14) * pace
		e.now += time.Duration(millis * float64(time.Millisecond))
		still := e.running[:0]
		for _, g := range e.running {
			if g.generated++; g.generated%4 == 0 {
				g.isLate = g.isLate || e.now-g.latest > draftPauses.Target
				g.latest = e.now
			}
			if g.generated < g.length {
				still = append(still, g)
			}
		}
		e.running = still
		if read == 0 {
			continue
		}
		g := e.queue[0]
		if g.unread -= read; g.unread <= 0 {
			e.queue = e.queue[1:]
			e.running = append(e.running, g)
			g.generated, g.latest, g.isLate = 1, e.now, e.now-g.arrived > 1800*time.Millisecond
		}
	}
	e.now = max(e.now, now)
}

func (e *pausingEngine) candidate(id int) comfreyplacement.Candidate {
	c := comfreyplacement.Candidate{ID: fmt.Sprint(id), IsSameDataCentre: true, Slots: 24, Pace: e.pace}
	c.Load.CapacityTokens = 26851
	for _, g := range e.queue {
		c.Load.Running++
		c.Load.UsedTokens += g.prompt
		c.Load.PendingPrefillTokens += g.prompt
	}
	for _, g := range e.running {
		c.Load.Running++
		c.Load.Decoding++
		c.Load.UsedTokens += g.prompt + g.generated
	}
	return c
}

// simulatePauses simulates 40 s of drafts and checks on 24 engines, of which a quarter
// is fast, and returns the share of drafts that are late by their first event or by a
// pause.
func simulatePauses(p comfreyplacement.Pauses, seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 0))
	engines := make([]*pausingEngine, 24)
	for i := range engines {
		engines[i] = &pausingEngine{pace: slowPace}
		if i%4 == 0 {
			engines[i].pace = fastPace
		}
	}
	var drafts []*pausedGeneration
	moment := -1
	for now := time.Duration(0); now < 40*time.Second; now += time.Duration(r.ExpFloat64() / 21 * float64(time.Second)) {
		var l []comfreyplacement.Candidate
		isNew := int(now/(600*time.Millisecond)) != moment
		moment = int(now / (600 * time.Millisecond))
		for i, e := range engines {
			e.runUntil(now)
			if isNew {
				e.isSlow = r.Float64() < 0.15
			}
			c := e.candidate(i)
			// A response tells the pace about once a second, for 0.3 s.
			if e.isSlow && r.Float64() < 0.3 {
				c.Pace.Now = c.Pace.Slow
			}
			l = append(l, c)
		}
		g := &pausedGeneration{prompt: 2200, length: 8, arrived: now}
		d := comfreyplacement.Demand{PromptTokens: 2200, ExpectedTokens: 8, Pauses: p, MaxPendingPrefillTokens: comfreyplacement.MaxPendingPrefill(1500*time.Millisecond, 0, 2200)}
		if r.IntN(2) == 0 {
			g.prompt, g.length = 3000, min(int(500*math.Exp(0.8*r.NormFloat64())), 1750)+1
			d.PromptTokens, d.ExpectedTokens = 3000, 700
			d.MaxPendingPrefillTokens = comfreyplacement.MaxPendingPrefill(1800*time.Millisecond, 0, 3000)
			drafts = append(drafts, g)
		}
		g.unread = g.prompt
		i := comfreyplacement.ChooseForGeneration(l, d, r.Float64)
		if i < 0 {
			g.isLate = true
			continue
		}
		engines[i].queue = append(engines[i].queue, g)
	}
	late := 0
	for _, g := range drafts {
		if g.isLate {
			late++
		}
	}
	return float64(late) / float64(len(drafts))
}

// TestPromptsAvoidMakingDraftsLate replays prompts on engines that share their machines
// with others. Without a target of pauses, an eighth to a fifth of the drafts is late.
func TestPromptsAvoidMakingDraftsLate(t *testing.T) {
	for seed := range uint64(5) {
		before, got := simulatePauses(comfreyplacement.Pauses{}, seed), simulatePauses(draftPauses, seed)
		t.Logf("seed %d: %.3f of the drafts are late, %.3f without a target of pauses", seed, got, before)
		if got > before/2 {
			t.Errorf("seed %d: %.3f of the drafts are late, want at most half of the %.3f without a target of pauses", seed, got, before)
		}
	}
}
