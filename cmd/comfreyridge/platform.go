package main

import (
	"context"
	"fmt"
	"io"

	"comfreyridge.example/comfreyridge/platform"
)

// forwardCommand runs a gateway on the users' platform.
type forwardCommand struct {
	Settings string `arg:"--settings" help:"settings file; by default the one that the platform's environment variable names"`
	Check    bool   `arg:"--check" help:"check the settings file and end"`
}

// run runs the gateway until stop ends.
func (c forwardCommand) run(stop context.Context, stdout, stderr io.Writer) int {
	r := platform.SettingsFile{Path: c.Settings}
	s, err := r.Read()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if c.Check {
		fmt.Fprintf(stdout, "settings of %s in %s are in order\n", s.Host, s.DataCentre)
		return exitOK
	}
	return report(platform.RunGateway(stop, r, s, stdout), stderr)
}
