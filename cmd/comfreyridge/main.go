// Command comfreyridge serves text generations of unknown length: gateways on
// entry hosts, a sidecar beside each upstream, and the operators' tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"comfreyridge.example/comfreyridge/comfreydemo"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// commands are the subcommands and their settings.
type commands struct {
	Demo    *comfreydemo.Options `arg:"subcommand:demo" help:"run a whole fleet on loopback with embedded stand-ins"`
	Version *struct{}            `arg:"subcommand:version" help:"print the version"`
}

// Description is the head of the help page.
func (commands) Description() string {
	return "comfreyridge serves text generations of unknown length on crowded engines."
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var c commands
	p, err := arg.NewParser(arg.Config{Program: "comfreyridge"}, &c)
	if err != nil {
		panic("comfreyridge: " + err.Error())
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "comfreyridge:", err)
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := dispatch(ctx, c, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func dispatch(ctx context.Context, c commands, w io.Writer) error {
	switch {
	case c.Demo != nil:
		return comfreydemo.Run(ctx, *c.Demo, w)
	default:
		fmt.Fprintln(w, version())
		return nil
	}
}
