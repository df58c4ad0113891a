package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// crashRecords relays crash records between sidecars. It is safe for concurrent
// use.
type crashRecords struct {
	now func() time.Time

	mu      sync.Mutex
	records *comfreyquarantine.Table
}

func newCrashRecords(host string, now func() time.Time) *crashRecords {
	return &crashRecords{now: now, records: comfreyquarantine.NewTable(comfreyquarantine.Config{Host: host})}
}

// merge adds the records that a sidecar sent.
func (c *crashRecords) merge(s []*comfreyproto.CrashRecord) {
	if len(s) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.records.Merge(now, comfreyrpc.DecodeCrashRecords(s, now))
}

// export returns a batch of records for another sidecar.
func (c *crashRecords) export() []*comfreyproto.CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return comfreyrpc.EncodeCrashRecords(c.records.GossipBatch(now, comfreyrpc.MaxCrashRecords), now)
}

// forRequest returns the records in which a request is a suspect, so that the
// next sidecar has them before it executes the request.
func (c *crashRecords) forRequest(q generationRequest) []*comfreyproto.CrashRecord {
	f := comfreyquarantine.NewFingerprint(q.customer.Name, q.route.Service.Name, q.body)
	c.mu.Lock()
	defer c.mu.Unlock()
	return comfreyrpc.EncodeCrashRecords(c.records.RecordsFor(f), c.now())
}
