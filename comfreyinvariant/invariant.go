// Package comfreyinvariant asserts, inside the running program, the promises
// that must always hold. A violation is counted and logged; under "go test" it
// panics.
package comfreyinvariant

import (
	"fmt"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Name identifies an invariant in logs, in counters and in docs/PROMISES.md.
// It is kebab case.
type Name string

// Violations counts the violations by invariant.
var Violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "comfrey_invariant_violations_total",
	Help: "Violations of an invariant that must always hold.",
}, []string{"invariant"})

var (
	mu      sync.Mutex
	observe func(n Name, detail string)
)

// Observe makes f receive every violation in place of the panic, until the
// returned function is called. Tests use it to show that a check fires.
func Observe(f func(n Name, detail string)) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	old := observe
	observe = f
	return func() {
		mu.Lock()
		defer mu.Unlock()
		observe = old
	}
}

// Check reports a violation of n unless ok. The format and its arguments say
// what was seen; they are evaluated by the caller even if ok, so a hot path
// passes values that cost nothing to make.
func Check(ok bool, n Name, format string, args ...any) {
	if ok {
		return
	}
	detail := fmt.Sprintf(format, args...)
	Violations.WithLabelValues(string(n)).Inc()
	logrus.WithFields(logrus.Fields{"event": "invariant-violated", "invariant": n, "detail": detail}).Error("invariant violated")
	mu.Lock()
	f := observe
	mu.Unlock()
	if f != nil {
		f(n, detail)
		return
	}
	if testing.Testing() {
		panic(fmt.Sprintf("comfreyinvariant: %s: %s", n, detail))
	}
}
