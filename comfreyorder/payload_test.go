package comfreyorder

import (
	"bytes"
	"math"
	"testing"
	"time"
)

// FuzzParsePayload parses payloads without an authentication code, because
// FuzzParseTicket cannot guess a valid code.
func FuzzParsePayload(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(Ticket{}.payload())
	f.Add(Ticket{OwnerHost: "a", Customer: "b", Service: "c", Expiry: time.UnixMilli(math.MaxInt64)}.payload())
	f.Add(append(Ticket{OwnerHost: "a", Expiry: time.UnixMilli(math.MinInt64)}.payload(), 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		k, err := parsePayload(b)
		if err == nil && !bytes.Equal(k.payload(), b) {
			t.Errorf("%x was accepted but encodes differently: %+v", b, k)
		}
	})
}
