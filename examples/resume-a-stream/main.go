// Command resume-a-stream loses its gateway in the middle of an answer and
// reads the rest at another gateway. Each token arrives once.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	f, err := comfreydemo.StartFleet(ctx, comfreydemo.FleetConfig{Engine: comfreyfakeengine.Config{StepTime: 5 * time.Millisecond}})
	if err != nil {
		return err
	}
	defer f.Stop()
	c := comfreycaller.Caller{Key: comfreydemo.SampleKey}
	body := comfreycaller.Body(comfreydemo.GenerationService, "Commissioning report for cold room 3.", 60)
	events := 0
	first := c.Stream(ctx, f.URL(0), body, "", func(comfreycaller.Event) {
		events++
		if events == 20 {
			f.Gateways[0].Kill()
		}
	})
	fmt.Printf("first gateway: %d tokens, then %s\n", first.Tokens, first.Error.Reason)
	second := c.Stream(ctx, f.URL(1), nil, first.LastEventID, nil)
	if !second.Complete {
		return second.Error
	}
	fmt.Printf("second gateway: %d tokens, complete\n", second.Tokens)
	fmt.Println(len(strings.Fields(first.Text+second.Text)), "tokens in all")
	return nil
}
