package comfreyrpc_test

import (
	"reflect"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// TestPacesOnTheWire checks that paces keep their values, and that those which name no
// replica or no pace are left out.
func TestPacesOnTheWire(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	l := []comfreypace.Sample{{Start: comfreyreplica.Start{ID: "a", StartMillis: 7}, Pace: 0.55, At: now.Add(-120 * time.Millisecond)}}
	m := append(comfreyrpc.EncodePaces(l, now), &comfreyproto.ReplicaPace{Percent: 9}, &comfreyproto.ReplicaPace{Replica: "b"})
	if got := comfreyrpc.DecodePaces(m, now); !reflect.DeepEqual(got, l) {
		t.Errorf("expected %+v, got %+v", l, got)
	}
}
