package comfreyrpc

import (
	"math"
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// EncodePaces converts paces to the wire format. The time of a sample is sent as its
// age, because the clocks of two processes differ.
func EncodePaces(l []comfreypace.Sample, now time.Time) []*comfreyproto.ReplicaPace {
	var m []*comfreyproto.ReplicaPace
	for _, s := range l {
		m = append(m, &comfreyproto.ReplicaPace{Replica: s.Start.ID, Born: s.Start.StartMillis, Percent: uint32(math.Round(s.Pace * 100)), AgeMillis: Millis(now.Sub(s.At))})
	}
	return m
}

// DecodePaces converts paces from the wire format. Malformed ones are omitted.
func DecodePaces(m []*comfreyproto.ReplicaPace, now time.Time) []comfreypace.Sample {
	var l []comfreypace.Sample
	for _, p := range m {
		if p.Replica == "" || p.Percent == 0 {
			continue
		}
		l = append(l, comfreypace.Sample{
			Start: comfreyreplica.Start{ID: p.Replica, StartMillis: p.Born}, Pace: float64(p.Percent) / 100, At: now.Add(-Duration(p.AgeMillis)),
		})
	}
	return l
}
