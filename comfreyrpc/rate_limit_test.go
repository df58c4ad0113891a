package comfreyrpc_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// malformedRateLimits are limits that no gateway sends.
var malformedRateLimits = []*comfreyproto.ReplicaRateLimit{
	{PerSecond: 3}, {Replica: "a", PerSecond: -1}, {Replica: "a", PerSecond: math.NaN()},
}

// TestRateLimitsOnTheWire checks that limits and requests for permits arrive as they
// were sent, without malformed ones.
func TestRateLimitsOnTheWire(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	limits := []comfreyreplica.RateLimit{
		{Start: comfreyreplica.Start{ID: "a", StartMillis: 7}, PerSecond: 3.4, ObservedAt: now.Add(-250 * time.Millisecond)},
		{Start: comfreyreplica.Start{ID: "b"}, ObservedAt: now},
	}
	if got := comfreyrpc.DecodeRateLimits(append(comfreyrpc.EncodeRateLimits(limits, now), malformedRateLimits...), now); !reflect.DeepEqual(got, limits) {
		t.Errorf("expected limits %+v, got %+v", limits, got)
	}
	r := comfreyratelimit.Request{
		Service: "app", Key: "\x00\xff", MaxWait: 800 * time.Millisecond, IsUrgent: true,
		Offers: []comfreyratelimit.Offer{{Start: comfreyreplica.Start{ID: "a", StartMillis: 7}, PerSecond: 3.4, Age: time.Second}},
	}
	m := comfreyrpc.EncodePermitRequest(r, 2)
	m.Replicas = append(append(m.Replicas, malformedRateLimits...), &comfreyproto.ReplicaRateLimit{Replica: "ended"})
	if got, hops := comfreyrpc.DecodePermitRequest(m); !reflect.DeepEqual(got, r) || hops != 2 {
		t.Errorf("expected request %+v, passed on twice, got %+v, %d", r, got, hops)
	}
}
