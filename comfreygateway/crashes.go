package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// crashes carries crash records between sidecars. It is safe for concurrent
// use.
type crashes struct {
	now func() time.Time

	mu    sync.Mutex
	table *comfreyquarantine.Table
}

func newCrashes(host string, now func() time.Time) *crashes {
	return &crashes{now: now, table: comfreyquarantine.NewTable(comfreyquarantine.Config{Host: host})}
}

// merge takes the records of a sidecar.
func (c *crashes) merge(s []*comfreyproto.CrashRecord) {
	if len(s) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.table.Merge(now, comfreyrpc.CrashRecords(s, now))
}

// export returns records to pass on.
func (c *crashes) export() []*comfreyproto.CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return comfreyrpc.CrashesOf(c.table.GossipBatch(now, comfreyrpc.SharedCrashes), now)
}

// about returns the records in which a request is suspected, so that the next
// sidecar knows of them before the request runs there.
func (c *crashes) about(q generationRequest) []*comfreyproto.CrashRecord {
	f := comfreyquarantine.NewFingerprint(q.customer.Name, q.route.Service.Name, q.body)
	c.mu.Lock()
	defer c.mu.Unlock()
	return comfreyrpc.CrashesOf(c.table.RecordsFor(f), c.now())
}
