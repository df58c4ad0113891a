// The test binary of this package runs a case of the third review with model replicas, on
// the stand-ins of the second review. It starts the project's gateway as a process of its
// own, between stand-ins for the platform, the replicas and the callers that run in this
// process.
package twice

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It reports whether the rule was broken.
type scenario func(e *env) (broken bool, err error)

var scenarios = map[string]scenario{}

// TestMain runs the case that the command line names, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-kit-3-twice CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2], os.Args[3]))
}

// play runs a case and ends all that it has started.
func play(run scenario, repository, record string) int {
	e, err := newEnv(repository, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	broken, err := run(e)
	switch {
	case err != nil:
		e.logf("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		e.logf("case", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		e.logf("case", "the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
