package comfreyreplay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

// Outcome is one figure of one seed that has a bound.
type Outcome struct {
	// Name is the kebab-case name of the outcome.
	Name string
	// Seed is the seed of the trace.
	Seed uint64
	// Value is the figure, and Bound the least or the greatest that it may be.
	Value, Bound float64
	// AtLeast says that Bound is the least value.
	AtLeast bool
}

// Hit reports whether the value keeps its bound.
func (o Outcome) Hit() bool {
	if o.AtLeast {
		return o.Value >= o.Bound
	}
	return o.Value <= o.Bound
}

// String returns the outcome as a line of key=value pairs.
func (o Outcome) String() string {
	sign := "<="
	if o.AtLeast {
		sign = ">="
	}
	return fmt.Sprintf("outcome=%s seed=%d value=%.3f want%s%.3f hit=%t", o.Name, o.Seed, o.Value, sign, o.Bound, o.Hit())
}

// The bounds of the stated outcomes.
const (
	stallOverReservation  = 0.5
	stallOverGreedy       = 1
	preemptionsOverGreedy = 0.25
	preemptionsPer100     = 1
	interTokenOverGreedy  = 0.5
	goodputOverGreedy     = 0.95
	firstTokenLimit       = 470 * time.Millisecond
	interTokenLimit       = 28 * time.Millisecond
	goodputOverPeak       = 0.95
	keptLimit             = 0.9
	fairnessLimit         = 0.8
)

// peakLoads are the loads among which the peak of the goodput is sought.
var peakLoads = []float64{0.9, 1, 1.1, 1.25}

// Outcomes replays every scenario of a seed and returns its outcomes.
func Outcomes(ctx context.Context, seed uint64, replicas int) ([]Outcome, error) {
	var all []Outcome
	for _, f := range []func(context.Context, uint64, int) ([]Outcome, error){
		gravureOutcomes, jabalOutcomes, steadyOutcomes, overloadOutcomes,
	} {
		o, err := f(ctx, seed, replicas)
		if err != nil {
			return nil, err
		}
		all = append(all, o...)
	}
	for i := range all {
		all[i].Seed = seed
	}
	return all, nil
}

// gravureOutcomes compares the stall-time preset with the baselines.
func gravureOutcomes(ctx context.Context, seed uint64, replicas int) ([]Outcome, error) {
	r, err := ScenarioCrowded.Run(ctx, GravurePierre(), seed, replicas,
		comfreyadmission.PolicyPredictedPeak, comfreyadmission.PolicyGreedy, comfreyadmission.PolicyReservation)
	if err != nil {
		return nil, err
	}
	c, greedy, reservation := r[0], r[1], r[2]
	p99 := func(r Result) float64 { return r.Stall.Quantile(0.99).Seconds() }
	return []Outcome{
		{Name: "gravure-stall-over-reservation", Value: ratio(p99(c), p99(reservation)), Bound: stallOverReservation},
		{Name: "gravure-stall-over-greedy", Value: ratio(p99(c), p99(greedy)), Bound: stallOverGreedy},
		{Name: "gravure-preemptions-over-greedy", Value: ratio(c.PreemptionRate(), greedy.PreemptionRate()), Bound: preemptionsOverGreedy},
	}, nil
}

// jabalOutcomes compares the preemptions preset with greedy.
func jabalOutcomes(ctx context.Context, seed uint64, replicas int) ([]Outcome, error) {
	r, err := ScenarioCrowded.Run(ctx, AlJabal(), seed, replicas,
		comfreyadmission.PolicyPredictedPeak, comfreyadmission.PolicyGreedy)
	if err != nil {
		return nil, err
	}
	c, greedy := r[0], r[1]
	p99 := func(r Result) float64 { return r.InterToken.Quantile(0.99).Seconds() }
	return []Outcome{
		{Name: "jabal-preemptions-per-100", Value: c.PreemptionRate(), Bound: preemptionsPer100},
		{Name: "jabal-inter-token-over-greedy", Value: ratio(p99(c), p99(greedy)), Bound: interTokenOverGreedy},
		{Name: "jabal-goodput-over-greedy", Value: ratio(c.Goodput, greedy.Goodput), Bound: goodputOverGreedy, AtLeast: true},
	}, nil
}

// steadyOutcomes measures the candidate at 85% of the capacity.
func steadyOutcomes(ctx context.Context, seed uint64, replicas int) ([]Outcome, error) {
	var all []Outcome
	for _, s := range Shapes() {
		r, err := ScenarioSteady.Run(ctx, s, seed, replicas, comfreyadmission.PolicyPredictedPeak)
		if err != nil {
			return nil, err
		}
		all = append(all,
			Outcome{Name: s.Name + "-steady-first-token-p95", Value: r[0].FirstToken.Quantile(0.95).Seconds(), Bound: firstTokenLimit.Seconds()},
			Outcome{Name: s.Name + "-steady-inter-token-p95", Value: r[0].InterToken.Quantile(0.95).Seconds(), Bound: interTokenLimit.Seconds()},
		)
	}
	return all, nil
}

// overloadOutcomes measures the candidate at 150% of the capacity.
func overloadOutcomes(ctx context.Context, seed uint64, replicas int) ([]Outcome, error) {
	var all []Outcome
	for _, s := range Shapes() {
		r, err := ScenarioOverload.Run(ctx, s, seed, replicas, comfreyadmission.PolicyPredictedPeak)
		if err != nil {
			return nil, err
		}
		peak := r[0].Goodput
		for _, l := range peakLoads {
			o := ScenarioOverload.Options(seed, replicas)
			o.Load = l
			p, err := runOptions(ctx, s, o, comfreyadmission.PolicyPredictedPeak)
			if err != nil {
				return nil, err
			}
			peak = max(peak, p[0].Goodput)
		}
		all = append(all,
			Outcome{Name: s.Name + "-overload-goodput-over-peak", Value: ratio(r[0].Goodput, peak), Bound: goodputOverPeak, AtLeast: true},
			Outcome{Name: s.Name + "-overload-retry-after-kept", Value: r[0].KeptRate(), Bound: keptLimit, AtLeast: true},
			Outcome{Name: s.Name + "-overload-fairness", Value: r[0].Fairness, Bound: fairnessLimit, AtLeast: true},
			Outcome{Name: s.Name + "-overload-late-refusals", Value: float64(r[0].Late), Bound: 0},
		)
	}
	return all, nil
}

// ratio returns a/b, or a if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return a
	}
	return a / b
}

// WriteOutcomes writes, for each outcome, how many seeds hit and the least,
// median and greatest value.
func WriteOutcomes(w io.Writer, all []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "outcome\thits\tseeds\tbound\tleast\tmedian\tgreatest\tmissed seeds\t")
	var names []string
	for _, o := range all {
		if !slices.Contains(names, o.Name) {
			names = append(names, o.Name)
		}
	}
	for _, n := range names {
		writeOutcome(t, n, all)
	}
	return t.Flush()
}

// writeOutcome writes the line of one outcome.
func writeOutcome(w io.Writer, name string, all []Outcome) {
	var values []float64
	var missed []uint64
	var last Outcome
	for _, o := range all {
		if o.Name != name {
			continue
		}
		last = o
		values = append(values, o.Value)
		if !o.Hit() {
			missed = append(missed, o.Seed)
		}
	}
	slices.Sort(values)
	sign := "<="
	if last.AtLeast {
		sign = ">="
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s%.3f\t%.3f\t%.3f\t%.3f\t%v\t\n", name, len(values)-len(missed), len(values),
		sign, last.Bound, values[0], values[len(values)/2], values[len(values)-1], missed)
}
