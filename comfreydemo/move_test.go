package comfreydemo

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

func TestUpstreamFollowsTheConfiguration(t *testing.T) {
	var revision atomic.Uint64
	var settings atomic.Pointer[comfreyconfig.Settings]
	publish := func(number uint64, version string) {
		limits := comfreyconfig.NewLimits()
		limits.WeightLoadsPerMinute = 6000
		s := EmbeddedSettings().WithLimits(limits).WithUpstream(comfreyconfig.Upstream{Service: GenerationService, Model: "stone", Version: version, Role: "mixed"})
		settings.Store(&s)
		revision.Store(number)
	}
	publish(1, "1.0")
	f := startFleet(t, FleetConfig{
		Engines:      1,
		Applications: -1,
		Engine:       comfreyfakeengine.Config{Fencing: comfreyfakeengine.FencingEnforced, LoadTime: 10 * time.Millisecond},
		Settings:     func() comfreyconfig.Settings { return *settings.Load() },
		Sidecar: comfreysidecar.Config{
			Fencing: comfreyfleet.FencingEnforced,
			Digest:  func() *comfreyproto.Digest { return &comfreyproto.Digest{Number: revision.Load()} },
			QueryLatestRevision: func(context.Context) (comfreysidecar.LatestRevision, bool) {
				return comfreysidecar.LatestRevision{Number: revision.Load(), QueriedAt: time.Now()}, true
			},
		},
	})
	waitForVersion(t, f, "1.0")
	publish(2, "2.0")
	waitForVersion(t, f, "2.0")
	last := uint64(0)
	for _, o := range f.Engines[0].Orders() {
		if o.FencingNumber <= last {
			t.Errorf("order %+v came after number %d", o, last)
		}
		last = o.FencingNumber
	}
}

func waitForVersion(t testing.TB, f *Fleet, version string) {
	t.Helper()
	for t.Context().Err() == nil {
		s := f.Engines[0].State()
		if s.Version == version && s.Model == "stone" && s.Role == "mixed" && s.Pending == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
