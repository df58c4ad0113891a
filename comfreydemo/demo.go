package comfreydemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Options are the settings of the demo command.
type Options struct {
	Listen string `arg:"--listen,env:COMFREY_DEMO_LISTEN" default:"127.0.0.1:0" help:"address of the first gateway"`
	Once   bool   `arg:"--once" help:"send sample requests, print what they took, and exit"`
}

// demoStep is the time that the demo's engines take for a token.
const demoStep = 15 * time.Millisecond

// sample is one generation that the demo asks for.
type sample struct {
	prompt    string
	maxTokens int
}

var samples = []sample{
	{"Quote for a worktop in blue stone, 2.40 m by 0.62 m, one sink cut-out.", 24},
	{"Commissioning report for cold room 3: describe the door seals.", 48},
	{"How far may a 20 mm overhang reach without a bracket?", 16},
}

// Run starts the demo system and either sends the samples or serves until ctx
// ends.
func Run(ctx context.Context, o Options, w io.Writer) error {
	s, err := StartSystem(ctx, o.Listen)
	if err != nil {
		return err
	}
	defer s.Stop()
	fmt.Fprintf(w, "gateway: %s\nsecond gateway: %s\nsample key: %s\n", s.Gateways[0], s.Gateways[1], SampleKey)
	if !o.Once {
		printTry(w, s)
		<-ctx.Done()
		return nil
	}
	return runOnce(ctx, s, w)
}

func printTry(w io.Writer, s *System) {
	fmt.Fprintf(w, "try: curl -N %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"Hello\",\"stream\":true}'\n", s.Gateways[0], SampleKey, GenerationService)
	fmt.Fprintf(w, "then: comfreyridge explain --admin %s REQUEST-ID\n", s.Admins[0])
	fmt.Fprintln(w, "stop with an interrupt")
}

// runOnce sends the samples and one order.
func runOnce(ctx context.Context, s *System, w io.Writer) error {
	c := comfreycaller.Caller{Key: SampleKey}
	for i, x := range samples {
		fmt.Fprintf(w, "\n> %s\n", x.prompt)
		r := c.Stream(ctx, s.Gateways[i%2], comfreycaller.Body(GenerationService, x.prompt, x.maxTokens), "", func(e comfreycaller.Event) {
			fmt.Fprint(w, comfreycaller.Text(e.Data))
		})
		fmt.Fprintln(w)
		if !r.Complete {
			return fmt.Errorf("comfreydemo: sample %d: %w", i+1, r.Error)
		}
		fmt.Fprintf(w, "first-token=%s tokens=%d stall=%s took=%s verdict=%s request=%s\n",
			r.FirstToken.Round(time.Millisecond), r.Tokens, r.Stall.Round(time.Millisecond), r.Took.Round(time.Millisecond), comfreyverdict.VerdictRan, r.RequestID)
	}
	return order(ctx, c, s, w)
}

// order places one order twice, through two gateways, and shows that it ran
// once.
func order(ctx context.Context, c comfreycaller.Caller, s *System, w io.Writer) error {
	fmt.Fprintf(w, "\n> one order, put twice through two gateways\n")
	t, err := c.Mint(ctx, s.Gateways[0], OrderService)
	if err != nil {
		return fmt.Errorf("comfreydemo: mint: %w", err)
	}
	body := []byte(`{"part":"compressor","count":1}`)
	for i := range 2 {
		began := time.Now()
		o := c.Order(ctx, http.MethodPut, s.Gateways[i], OrderService, t, body)
		if o.Status != http.StatusCreated {
			return fmt.Errorf("comfreydemo: order: status %d: %w", o.Status, o.Error)
		}
		fmt.Fprintf(w, "gateway=%d status=%d state=%s verdict=%s took=%s answer=%s\n", i, o.Status, o.State, o.Error.Verdict, time.Since(began).Round(time.Millisecond), o.Body)
	}
	runs := 0
	for _, a := range s.Applications {
		for _, r := range a.Runs() {
			runs += r.Began
		}
	}
	fmt.Fprintf(w, "runs of the order at the applications: %d\n", runs)
	if runs != 1 {
		return fmt.Errorf("comfreydemo: the order ran %d times", runs)
	}
	return nil
}
