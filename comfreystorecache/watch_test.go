package comfreystorecache_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreystorecache"
)

func TestWatches(t *testing.T) {
	heard := func(addresses ...string) []comfreystorecache.Peer {
		var l []comfreystorecache.Peer
		for _, a := range addresses {
			l = append(l, comfreystorecache.Peer{Address: a})
		}
		return l
	}
	silent := []comfreystorecache.Peer{{Address: "a", LastMessageAge: time.Second}, {Address: "b", LastMessageAge: time.Second}}
	for name, c := range map[string]struct {
		peers      []comfreystorecache.Peer
		age        time.Duration
		hasContact bool
		want       bool
	}{
		"alone":                      {nil, 0, true, true},
		"one lower address":          {heard("a"), 0, true, true},
		"two lower addresses":        {heard("a", "b", "z"), 0, true, false},
		"both watchers are silent":   {silent, 0, true, true},
		"the copy gets old":          {heard("a", "b"), 1200 * time.Millisecond, true, true},
		"nothing was ever read":      {heard("a", "b"), 0, false, true},
		"higher addresses only":      {heard("x", "y", "z"), 0, true, true},
		"within the watchers' pause": {heard("a", "b"), 900 * time.Millisecond, true, false},
	} {
		if got := comfreystorecache.ShouldWatch("m", c.peers, c.age, c.hasContact); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
