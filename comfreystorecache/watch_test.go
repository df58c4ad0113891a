package comfreystorecache_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreystorecache"
)

func TestShouldWatch(t *testing.T) {
	recent := func(addresses ...string) []comfreystorecache.Peer {
		var l []comfreystorecache.Peer
		for _, a := range addresses {
			l = append(l, comfreystorecache.Peer{Address: a})
		}
		return l
	}
	silent := []comfreystorecache.Peer{{Address: "a", LastMessageAge: time.Second}, {Address: "b", LastMessageAge: time.Second}}
	for name, c := range map[string]struct {
		peers    []comfreystorecache.Peer
		storeAge time.Duration
		isSynced bool
		want     bool
	}{
		"alone":                     {nil, 0, true, true},
		"one lower address":         {recent("a"), 0, true, true},
		"two lower addresses":       {recent("a", "b", "z"), 0, true, false},
		"no messages from watchers": {silent, 0, true, true},
		"cache above maximum age":   {recent("a", "b"), 1200 * time.Millisecond, true, true},
		"store was never read":      {recent("a", "b"), 0, false, true},
		"higher addresses only":     {recent("x", "y", "z"), 0, true, true},
		"cache within maximum age":  {recent("a", "b"), 900 * time.Millisecond, true, false},
	} {
		if got := comfreystorecache.ShouldWatch("m", c.peers, c.storeAge, c.isSynced); got != c.want {
			t.Errorf("%s: ShouldWatch() = %v", name, got)
		}
	}
}
