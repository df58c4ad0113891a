package comfreyreplica_test

import (
	"testing"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// TestReportIsOfTheStartThatItStates guards against the load report of a replica that has
// the address, or the id, of another one.
func TestReportIsOfTheStartThatItStates(t *testing.T) {
	for _, c := range []struct {
		registered, reported int64
		want                 bool
	}{{7, 7, true}, {7, 8, false}, {7, 0, false}, {0, 7, true}, {0, 0, true}} {
		r := comfreyreplica.Replica{Registration: comfreyreplica.Registration{StartMillis: c.registered}}
		if got := (comfreyreplica.Report{StartMillis: c.reported}).IsOf(r); got != c.want {
			t.Errorf("registered %d, reported %d: got %t, want %t", c.registered, c.reported, got, c.want)
		}
	}
}
