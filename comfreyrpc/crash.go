package comfreyrpc

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
)

// MaxCrashRecords bounds the crash records in one message.
const MaxCrashRecords = 4

// EncodeCrashRecords converts crash records to the wire format. The expiry is sent
// as the remaining time, because the clocks of two processes differ.
func EncodeCrashRecords(s []comfreyquarantine.CrashRecord, now time.Time) []*comfreyproto.CrashRecord {
	var records []*comfreyproto.CrashRecord
	for _, r := range s {
		m := &comfreyproto.CrashRecord{
			Host:          r.Crash.Host,
			Incarnation:   r.Crash.Incarnation,
			Number:        r.Crash.Number,
			ExpiresMillis: Millis(r.Expiry.Sub(now)),
			Silent:        r.IsSilent,
		}
		for _, x := range r.Suspects {
			m.Suspects = append(m.Suspects, &comfreyproto.CrashSuspect{Fingerprint: x.Fingerprint[:], Confirmed: x.IsConfirmed, Cleared: x.IsCleared, Ran: x.HasRun})
		}
		records = append(records, m)
	}
	return records
}

// DecodeCrashRecords converts crash records from the wire format. Malformed
// suspects are omitted.
func DecodeCrashRecords(s []*comfreyproto.CrashRecord, now time.Time) []comfreyquarantine.CrashRecord {
	var records []comfreyquarantine.CrashRecord
	for _, m := range s {
		r := comfreyquarantine.CrashRecord{
			Crash:  comfreyquarantine.CrashID{Host: m.Host, Incarnation: m.Incarnation, Number: m.Number},
			Expiry: now.Add(Duration(m.ExpiresMillis)), IsSilent: m.Silent,
		}
		for _, x := range m.Suspects {
			if f, ok := FingerprintOf(x.Fingerprint); ok {
				r.Suspects = append(r.Suspects, comfreyquarantine.Suspect{Fingerprint: f, IsConfirmed: x.Confirmed, IsCleared: x.Cleared, HasRun: x.Ran})
			}
		}
		records = append(records, r)
	}
	return records
}

// FingerprintOf returns the fingerprint with the given bytes. It reports false
// if their number is wrong.
func FingerprintOf(b []byte) (f comfreyquarantine.Fingerprint, ok bool) {
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}
