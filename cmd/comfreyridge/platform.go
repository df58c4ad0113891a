package main

import (
	"context"
	"fmt"
	"io"

	"comfreyridge.example/comfreyridge/platform"
)

// runForward runs a gateway with the settings of the users' platform.
func runForward(stop context.Context, stdout, stderr io.Writer) int {
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return report(platform.RunGateway(stop, s, stdout), stderr)
}
