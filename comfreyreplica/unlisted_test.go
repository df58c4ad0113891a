package comfreyreplica_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// TestReplicaThatHasLeftIsNotUsedAfterARestart replays a replica that has announced in a
// response that it leaves, while the store does not say so. A process that starts learns
// it from another one, before or after it gets the registration, and must not use the
// replica. A later start of it is used.
func TestReplicaThatHasLeftIsNotUsedAfterARestart(t *testing.T) {
	old := newAccessSet("a", "b")
	old.Announce(start, "a")
	for _, isListedFirst := range []bool{true, false} {
		s := comfreyreplica.NewSet(comfreyreplica.Config{})
		if isListedFirst {
			s = newAccessSet("a", "b")
		}
		s.MergeLeaving(start, old.LeavingStarts())
		for _, id := range []string{"a", "b"} {
			s.Update(start.Add(time.Second), comfreyreplica.Registration{ID: id, Service: "app", Address: id, StartMillis: 7})
		}
		checkCall(t, s, "left", start.Add(2*time.Second), "a", comfreyreplica.PurposeWork, comfreyreplica.ErrLeaving)
		checkCall(t, s, "stays", start.Add(2*time.Second), "b", comfreyreplica.PurposeWork, nil)
		s.Update(start.Add(3*time.Second), comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 8})
		checkCall(t, s, "a later start", start.Add(3*time.Second), "a", comfreyreplica.PurposeWork, nil)
	}
}
