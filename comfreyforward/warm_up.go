package comfreyforward

import (
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// applyWarmUps applies what a configuration says of cold replicas. The mutex must be
// held.
func (g *Gateway) applyWarmUps(t *comfreyroute.Table) {
	w := map[string]comfreyreplica.WarmUp{}
	for _, s := range t.Services() {
		if s.WarmUpTime > 0 || s.WarmUpPerSecond > 0 {
			w[s.Name] = comfreyreplica.WarmUp{Duration: s.WarmUpTime, PerSecond: s.WarmUpPerSecond}
		}
	}
	g.replicas.SetWarmUps(w)
}

// coldCount returns the number of cold replicas that accept new work.
func (g *Gateway) coldCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	now := g.config.Now()
	for _, r := range g.replicas.All() {
		if r.IsAccepting() && now.Before(r.WarmAt) {
			n++
		}
	}
	return n
}
