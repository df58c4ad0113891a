package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyprocess"
	"comfreyridge.example/comfreyridge/comfreysettings"
)

// newSignalGroup calls stop at the first signal and end at the second. The
// returned function waits until the channel is closed.
func newSignalGroup(s <-chan os.Signal, stop, end func()) (wait func()) {
	g := comfreygroup.New(context.Background())
	g.Go("signals", func(context.Context) error {
		for range s {
			stop()
			stop = end
		}
		return nil
	})
	return func() { _ = g.Wait() }
}

func runGateway(ctx, kill context.Context, s comfreysettings.Gateway, stderr io.Writer) int {
	if err := s.Check(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return report(comfreyprocess.RunGateway(ctx, kill, s, comfreyprocess.Options{Log: stderr}), stderr)
}

func runSidecar(ctx, kill context.Context, s comfreysettings.Sidecar, stderr io.Writer) int {
	if err := s.Check(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return report(comfreyprocess.RunSidecar(ctx, kill, s, comfreyprocess.Options{Log: stderr}), stderr)
}
