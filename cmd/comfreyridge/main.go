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
	"comfreyridge.example/comfreyridge/comfreyload"
	"comfreyridge.example/comfreyridge/comfreyreplay"
	"comfreyridge.example/comfreyridge/comfreysettings"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// commands are the subcommands and their settings.
type commands struct {
	Gateway *comfreysettings.Gateway     `arg:"subcommand:gateway" help:"run a gateway on an entry host"`
	Sidecar *comfreysettings.Sidecar     `arg:"subcommand:sidecar" help:"run the sidecar beside an upstream"`
	Forward *forwardCommand              `arg:"subcommand:forward" help:"run a gateway with the settings file of the users' platform"`
	Config  *configCommand               `arg:"subcommand:config" help:"check, show and compare configuration folders"`
	Call    *callCommand                 `arg:"subcommand:call" help:"send one request to a gateway, as a caller would"`
	Explain *explainCommand              `arg:"subcommand:explain" help:"tell what happened to a request, across processes"`
	Replay  *comfreyreplay.ReplayOptions `arg:"subcommand:replay" help:"replay a trace over the decision packages, policies side by side"`
	Load    *comfreyload.Options         `arg:"subcommand:load" help:"send a bounded load to gateways on loopback and report what callers saw"`
	Demo    *comfreydemo.Options         `arg:"subcommand:demo" help:"run a whole fleet on loopback with embedded stand-ins"`
	Fake    *fakeCommand                 `arg:"subcommand:fake" help:"run a stand-in of the platform, an engine or an application"`
	Version *struct{}                    `arg:"subcommand:version" help:"print the version"`
}

// Description is the head of the help page.
func (commands) Description() string {
	return "comfreyridge serves text generations of unknown length on crowded engines."
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "forward" {
		// SIGHUP would end the process until platform.Reloader handles it.
		signal.Ignore(syscall.SIGHUP)
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	if isGenerate(args) {
		return runGenerate(args[2:], stdout, stderr)
	}
	var c commands
	if code, ok := parse("comfreyridge", &c, args, stdout, stderr); !ok {
		return code
	}
	return dispatch(c, stdout, stderr)
}

// parse reads a command line into c. It reports false, with the exit code, for
// a call for help and for one that cannot be read.
func parse(program string, c any, args []string, stdout, stderr io.Writer) (code int, ok bool) {
	p, err := arg.NewParser(arg.Config{Program: program}, c)
	if err != nil {
		panic("comfreyridge: " + err.Error())
	}
	err = p.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitOK, false
	}
	if _, needed := c.(*commands); needed && err == nil && p.Subcommand() == nil {
		err = errors.New("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(stderr, "comfreyridge:", err)
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage, false
	}
	return exitOK, true
}

// signals returns a context that the first stop signal ends, and one that the
// second ends.
func signals() (ctx, kill context.Context, release func()) {
	ctx, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	s := make(chan os.Signal, 2)
	signal.Notify(s, os.Interrupt, syscall.SIGTERM)
	wait := newSignalGroup(s, stop, end)
	return ctx, kill, func() {
		signal.Stop(s)
		close(s)
		wait()
		end()
	}
}

func dispatch(c commands, stdout, stderr io.Writer) int {
	ctx, kill, release := signals()
	defer release()
	switch {
	case c.Gateway != nil:
		return runGateway(ctx, kill, *c.Gateway, stderr)
	case c.Sidecar != nil:
		return runSidecar(ctx, kill, *c.Sidecar, stderr)
	case c.Forward != nil:
		return c.Forward.run(ctx, stdout, stderr)
	case c.Config != nil:
		return c.Config.run(stdout, stderr)
	case c.Call != nil:
		return report(c.Call.run(ctx, stdout), stderr)
	case c.Explain != nil:
		return report(c.Explain.run(ctx, stdout), stderr)
	case c.Replay != nil:
		return comfreyreplay.RunReplay(stdout, *c.Replay)
	case c.Load != nil:
		return report(comfreyload.RunLoad(ctx, stdout, *c.Load), stderr)
	case c.Demo != nil:
		return report(comfreydemo.Run(ctx, *c.Demo, stdout), stderr)
	case c.Fake != nil:
		return c.Fake.run(ctx, stdout, stderr)
	default:
		fmt.Fprintln(stdout, version())
		return exitOK
	}
}

// report prints an error and returns the exit code that it means.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	return exitFailed
}
