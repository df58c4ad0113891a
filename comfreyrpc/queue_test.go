package comfreyrpc_test

import (
	"reflect"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreturn"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// TestQueuesAndRefusalsOnTheWire checks that waiting and refused requests keep their
// values, and that refusals without a valid key are left out.
func TestQueuesAndRefusalsOnTheWire(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	waiting := []comfreyplacement.Waiter{{Service: "llm", Priority: 1, PromptTokens: 2550, Target: 1500 * time.Millisecond}}
	if got := comfreyrpc.DecodeWaiting(comfreyrpc.EncodeWaiting(waiting)); !reflect.DeepEqual(got, waiting) {
		t.Errorf("expected %+v, got %+v", waiting, got)
	}
	refused := []comfreyreturn.Refusal{{Service: "llm", Key: comfreyreturn.Key{1, 2}, Due: now.Add(3 * time.Second)}}
	m := append(comfreyrpc.EncodeRefused(refused, now), &comfreyproto.RefusedRequest{Service: "llm", Key: []byte{1}})
	if got := comfreyrpc.DecodeRefused(m, now); !reflect.DeepEqual(got, refused) {
		t.Errorf("expected %+v, got %+v", refused, got)
	}
}
