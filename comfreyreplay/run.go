package comfreyreplay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
	// parallelReplays bounds the replays that run at a time.
	parallelReplays = 4
)

// ReplayOptions are the options of the replay command.
type ReplayOptions struct {
	Trace          string        `arg:"--trace" help:"trace file; without one the trace is generated" placeholder:"FILE"`
	Policy         string        `arg:"--policy" help:"comma-separated policies: predicted-peak, greedy, reservation, engine-queue" default:"greedy,reservation,engine-queue,predicted-peak"`
	Preset         string        `arg:"--preset" help:"what predicted-peak weighs: stall-time or preemptions; by default what fits the shape"`
	Routing        string        `arg:"--routing" help:"router (as the gateways do), random, least-loaded, two-choices or prefix" default:"two-choices"`
	ReportInterval time.Duration `arg:"--report-interval" help:"time between two load reports" default:"1s"`
	CapacityTokens int           `arg:"--capacity-tokens" help:"memory of each engine; zero selects the model's default"`
	Outcomes       bool          `arg:"--outcomes" help:"replay every scenario of --seeds seeds, from --seed on, and compare the figures with their bounds"`
	Seeds          int           `arg:"--seeds" help:"number of seeds for --outcomes" default:"20"`
	Margin         float64       `arg:"--margin" help:"standard deviations that predicted-peak keeps free; zero selects the preset's"`
	Watermark      float64       `arg:"--watermark" help:"share of the memory that greedy fills; zero selects the default"`
	Customers      bool          `arg:"--customers" help:"print the figures by customer too"`
	Out            string        `arg:"--out" help:"write a report with pictures to this file" placeholder:"HTML"`
	GenerateFlags
}

// GenerateFlags are the options of a generated trace.
type GenerateFlags struct {
	Shape    string        `arg:"--shape" help:"gravure-pierre or al-jabal" default:"gravure-pierre"`
	Seed     uint64        `arg:"--seed" help:"seed of the random numbers" default:"1"`
	Load     float64       `arg:"--load" help:"offered tokens as a share of the capacity" default:"1"`
	Duration time.Duration `arg:"--duration" help:"length of the trace" default:"2m"`
	Burst    float64       `arg:"--burst" help:"rate within bursts as a multiple of the mean" default:"1.6"`
	Crowd    float64       `arg:"--crowd" help:"factor by which the largest customer raises its rate in the middle" default:"2"`
	Replicas int           `arg:"--replicas" help:"number of engines; zero selects the shape's"`
	Lost     bool          `arg:"--lost" help:"let a replica die in the middle"`
}

// GenerateCommand are the options of the replay generate command.
type GenerateCommand struct {
	Out string `arg:"--out" help:"write the trace to this file instead of standard output" placeholder:"FILE"`
	GenerateFlags
}

// RunGenerate writes a generated trace and returns the exit code.
func RunGenerate(w io.Writer, o GenerateCommand) int {
	s, err := ShapeNamed(o.Shape)
	if err != nil {
		fmt.Fprintln(w, err)
		return exitUsage
	}
	comment := fmt.Sprintf("shape=%s seed=%d load=%g duration=%s burst=%g crowd=%g replicas=%d lost=%t",
		o.Shape, o.Seed, o.Load, o.Duration, o.Burst, o.Crowd, o.Replicas, o.Lost)
	records := Generate(s, o.options())
	if o.Out == "" {
		return exitCode(w, WriteTrace(w, records, comment))
	}
	return exitCode(w, writeFile(o.Out, func(f io.Writer) error { return WriteTrace(f, records, comment) }))
}

// RunReplay replays a trace with each policy, writes the figures to w and
// returns the exit code.
func RunReplay(w io.Writer, o ReplayOptions) int {
	if o.Outcomes {
		return exitCode(w, runOutcomes(w, o))
	}
	s, err := ShapeNamed(o.Shape)
	if err != nil {
		fmt.Fprintln(w, err)
		return exitUsage
	}
	setups, err := o.setups(s)
	if err != nil {
		fmt.Fprintln(w, err)
		return exitUsage
	}
	trace, err := o.trace(s)
	if err != nil {
		return exitCode(w, err)
	}
	results, err := ReplayAll(context.Background(), setups, trace)
	if err != nil {
		return exitCode(w, err)
	}
	err = WriteTable(w, results)
	if o.Customers {
		err = errors.Join(err, WriteCustomers(w, results))
	}
	if o.Out != "" {
		err = errors.Join(err, writeFile(o.Out, func(f io.Writer) error { return WriteHTML(f, results) }))
	}
	return exitCode(w, err)
}

// runOutcomes replays the scenarios of several seeds and writes progress and
// the summary. A missed outcome is an error.
func runOutcomes(w io.Writer, o ReplayOptions) error {
	bySeed := make([][]Outcome, o.Seeds)
	done := make(chan uint64, o.Seeds)
	g := comfreygroup.New(context.Background())
	next := make(chan int, o.Seeds)
	for i := range o.Seeds {
		next <- i
	}
	close(next)
	for range parallelReplays {
		g.Go("replay", func(ctx context.Context) error {
			for i := range next {
				seed := o.Seed + uint64(i)
				r, err := Outcomes(ctx, seed, o.Replicas)
				if err != nil {
					return err
				}
				bySeed[i] = r
				done <- seed
				fmt.Fprintf(os.Stderr, "event=seed-replayed seed=%d done=%d of=%d\n", seed, len(done), o.Seeds)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	all := slices.Concat(bySeed...)
	missed := 0
	for _, r := range all {
		if !r.Hit() {
			missed++
		}
	}
	if err := WriteOutcomes(w, all); err != nil {
		return err
	}
	if missed > 0 {
		return fmt.Errorf("comfreyreplay: %d of %d outcomes missed", missed, len(all))
	}
	return nil
}

// ReplayAll replays a trace through each setup, a few at a time. The results
// are in the order of the setups.
func ReplayAll(ctx context.Context, setups []Setup, trace []Record) ([]Result, error) {
	results := make([]Result, len(setups))
	slots := make(chan struct{}, parallelReplays)
	g := comfreygroup.New(ctx)
	for i, s := range setups {
		g.Go(s.Name, func(ctx context.Context) error {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			results[i] = Replay(s, trace)
			<-slots
			return nil
		})
	}
	return results, g.Wait()
}

// options returns the parameters of a generated trace.
func (o GenerateFlags) options() GenerateOptions {
	return GenerateOptions{Seed: o.Seed, Load: o.Load, Duration: o.Duration, Burst: o.Burst, Crowd: o.Crowd, Replicas: o.Replicas, Lost: o.Lost}
}

// trace reads or generates the trace.
func (o ReplayOptions) trace(s Shape) ([]Record, error) {
	if o.Trace == "" {
		return Generate(s, o.options()), nil
	}
	f, err := os.Open(o.Trace)
	if err != nil {
		return nil, fmt.Errorf("comfreyreplay: %w", err)
	}
	defer f.Close()
	return ReadTrace(f)
}

// setups returns a setup for each policy.
func (o ReplayOptions) setups(s Shape) ([]Setup, error) {
	preset := s.Preset()
	if o.Preset != "" {
		p, err := comfreyadmission.ParsePreset(o.Preset)
		if err != nil {
			return nil, err
		}
		preset = p
	}
	var setups []Setup
	for _, name := range strings.Split(o.Policy, ",") {
		p, err := comfreyadmission.ParsePolicy(name)
		if err != nil {
			return nil, err
		}
		u := NewSetup(s, p, preset)
		u.Choose, err = ChooseNamed(o.Routing)
		if err != nil {
			return nil, err
		}
		u.ReportInterval = o.ReportInterval
		u.Seed = o.Seed
		u.Admission.Margin = o.Margin
		u.Admission.Watermark = o.Watermark
		u.Engine.CapacityTokens = o.CapacityTokens
		if o.Replicas > 0 {
			u.Replicas = o.Replicas
		}
		setups = append(setups, u)
	}
	return setups, nil
}

// engineQueueLimit stands for an engine's unbounded queue.
const engineQueueLimit = 1 << 30

// NewSetup returns the setup of a shape with a policy and a preset.
func NewSetup(s Shape, p comfreyadmission.Policy, preset comfreyadmission.Preset) Setup {
	u := Setup{
		Name:           p.String(),
		Admission:      comfreyadmission.Config{Policy: p, Preset: preset},
		Replicas:       s.Replicas,
		DataCentres:    s.DataCentres,
		ReportInterval: time.Second,
	}
	if p == comfreyadmission.PolicyEngineQueue {
		u.Admission.MaxRunning = engineQueueLimit
	}
	return u
}

// writeFile creates a file and lets f write it.
func writeFile(name string, f func(w io.Writer) error) error {
	w, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("comfreyreplay: %w", err)
	}
	return errors.Join(f(w), w.Close())
}

// exitCode reports err and returns the exit code.
func exitCode(w io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(w, err)
		return exitError
	}
	return exitOK
}
