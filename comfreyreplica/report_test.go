package comfreyreplica_test

import (
	"testing"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// TestReportIsOfTheStartThatItStates guards against the load report of a replica that has
// the address, or the id, of another one.
func TestReportIsOfTheStartThatItStates(t *testing.T) {
	for _, c := range []struct {
		registered, reported   int64
		want, showsReplacement bool
	}{{7, 7, true, false}, {7, 8, false, true}, {7, 6, false, false}, {7, 0, false, false}, {0, 7, true, false}, {0, 0, true, false}} {
		r := comfreyreplica.Replica{Registration: comfreyreplica.Registration{StartMillis: c.registered}}
		p := comfreyreplica.Report{StartMillis: c.reported}
		if got := p.IsOf(r); got != c.want {
			t.Errorf("registered %d, reported %d: got %t, want %t", c.registered, c.reported, got, c.want)
		}
		if got := p.ShowsReplacement(r); got != c.showsReplacement {
			t.Errorf("registered %d, reported %d: got replaced %t, want %t", c.registered, c.reported, got, c.showsReplacement)
		}
	}
}
