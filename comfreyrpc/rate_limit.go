package comfreyrpc

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// maxOffers bounds the replicas of one request for a permit.
const maxOffers = 256

// EncodeRateLimits converts rate limits to the wire format. The time of an
// observation is sent as its age, because the clocks of two processes differ.
func EncodeRateLimits(l []comfreyreplica.RateLimit, now time.Time) []*comfreyproto.ReplicaRateLimit {
	var m []*comfreyproto.ReplicaRateLimit
	for _, r := range l {
		m = append(m, encodeRateLimit(r.Start, r.PerSecond, now.Sub(r.ObservedAt)))
	}
	return m
}

func encodeRateLimit(k comfreyreplica.Start, perSecond float64, age time.Duration) *comfreyproto.ReplicaRateLimit {
	return &comfreyproto.ReplicaRateLimit{Replica: k.ID, Born: k.StartMillis, PerSecond: perSecond, AgeMillis: Millis(age)}
}

// isValidRateLimit reports whether a rate limit names a replica and a rate of zero or
// more.
func isValidRateLimit(m *comfreyproto.ReplicaRateLimit) bool {
	return m.Replica != "" && m.PerSecond >= 0
}

// DecodeRateLimits converts rate limits from the wire format. Malformed ones are
// omitted.
func DecodeRateLimits(m []*comfreyproto.ReplicaRateLimit, now time.Time) []comfreyreplica.RateLimit {
	var l []comfreyreplica.RateLimit
	for _, r := range m {
		if isValidRateLimit(r) {
			k := comfreyreplica.Start{ID: r.Replica, StartMillis: r.Born}
			l = append(l, comfreyreplica.RateLimit{Start: k, PerSecond: r.PerSecond, ObservedAt: now.Add(-Duration(r.AgeMillis))})
		}
	}
	return l
}

// EncodePermitRequest converts a request for a permit, which was passed on a number
// of times, to the wire format.
func EncodePermitRequest(r comfreyratelimit.Request, hops int) *comfreyproto.PermitRequest {
	m := &comfreyproto.PermitRequest{Service: r.Service, Key: []byte(r.Key), MaxWaitMillis: Millis(r.MaxWait), Urgent: r.IsUrgent, Hops: uint32(hops)}
	for _, o := range r.Offers {
		k := encodeRateLimit(o.Start, o.PerSecond, o.Age)
		k.WarmUp = o.IsWarmUp
		m.Replicas = append(m.Replicas, k)
	}
	return m
}

// DecodePermitRequest converts a request for a permit from the wire format. Malformed
// offers are omitted.
func DecodePermitRequest(m *comfreyproto.PermitRequest) (r comfreyratelimit.Request, hops int) {
	r = comfreyratelimit.Request{Service: m.Service, Key: string(m.Key), MaxWait: Duration(m.MaxWaitMillis), IsUrgent: m.Urgent}
	for _, o := range m.Replicas[:min(len(m.Replicas), maxOffers)] {
		if isValidRateLimit(o) && o.PerSecond > 0 {
			k := comfreyreplica.Start{ID: o.Replica, StartMillis: o.Born}
			r.Offers = append(r.Offers, comfreyratelimit.Offer{Start: k, PerSecond: o.PerSecond, Age: Duration(o.AgeMillis), IsWarmUp: o.WarmUp})
		}
	}
	return r, int(m.Hops)
}
