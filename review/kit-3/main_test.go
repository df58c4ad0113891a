// Package main runs the cases of the third independent review. It is built as a test binary,
// which is called as kit-3 CASE FOLDER. It starts the gateways of the project as separate
// processes, and stands in for the platform, the replicas and the callers, all on loopback
// addresses.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestCase bounds a case; the scripts may run for 120 s.
const longestCase = 110 * time.Second

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(ctx context.Context, e *environment) (isBroken bool, err error){
	"memory":   runMemory,
	"restart":  runRestart,
	"channels": runChannels,
	"storm":    runStorm,
}

// environment is what all cases need.
type environment struct {
	record *record
	group  *group
	// folder holds the settings and logs of the gateways; it is removed at the end.
	folder string
	// hasTrouble is false in the run without the disruption.
	hasTrouble bool
}

// TestMain runs one case instead of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case, whose record is written to a folder.
func run(name, folder string) int {
	hasTrouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "kit-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	r.printf("case=%s trouble=%t", name, hasTrouble)
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, longestCase)
	defer cancel()
	g := newGroup(ctx)
	isBroken, err := cases[name](ctx, &environment{record: r, group: g, folder: temporary, hasTrouble: hasTrouble})
	g.Stop()
	if waitErr := g.Wait(); err == nil {
		err = waitErr
	}
	return report(r, isBroken, err)
}

// report prints the result of a case and returns its exit code.
func report(r *record, isBroken bool, err error) int {
	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		r.printf("result=failed error=%q", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case isBroken:
		r.printf("result=broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		r.printf("result=held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
