// Command order-once places one order through two gateways at the same time.
// The application runs it once, and both callers get its answer.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreydemo"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	f, err := comfreydemo.StartFleet(ctx, comfreydemo.FleetConfig{})
	if err != nil {
		return err
	}
	defer f.Stop()
	c := comfreycaller.Caller{Key: comfreydemo.SampleKey}
	ticket, err := c.Mint(ctx, f.URL(0), comfreydemo.OrderService)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	answers := make([]comfreycaller.OrderResult, 2)
	for i := range answers {
		wg.Go(func() {
			answers[i] = c.Order(ctx, http.MethodPut, f.URL(i), comfreydemo.OrderService, ticket, []byte(`{"slab":"blue stone"}`))
		})
	}
	wg.Wait()
	for i, a := range answers {
		fmt.Printf("gateway %d: %s, %s, status %d\n", i, a.State, a.Error.Verdict, a.Status)
	}
	runs := 0
	for _, a := range f.Applications {
		for _, r := range a.Runs() {
			runs += r.Began
		}
	}
	fmt.Println("runs:", runs)
	return nil
}
