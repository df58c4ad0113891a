package comfreyreplay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
)

// The data centres as a gateway's router sees them.
const (
	nearDataCentre = "near"
	farDataCentre  = "far"
	routedService  = "replayed"
)

// NewRouterChoice returns a choice that asks comfreyrouter, as a gateway does.
// It keeps a router for each data centre, so each replay needs one of its own.
func NewRouterChoice() Choose {
	routers := map[string]*routedGateway{}
	return func(_ *rand.Rand, q Query, hints []Hint) int {
		g, ok := routers[q.DataCentre]
		if !ok {
			g = newRoutedGateway(q.DataCentre, hints)
			routers[q.DataCentre] = g
		}
		return g.choose(q, hints)
	}
}

// routedGateway is the router of one gateway with the hints it was shown.
type routedGateway struct {
	router *comfreyrouter.Router
	heard  []time.Time
}

func newRoutedGateway(dataCentre string, hints []Hint) *routedGateway {
	r := comfreyrouter.New(comfreyrouter.Config{Gateway: dataCentre, DataCentre: nearDataCentre})
	var members []comfreyfleet.Member
	for n, h := range hints {
		m := comfreyfleet.Member{Host: strconv.Itoa(n), Address: strconv.Itoa(n), DataCentre: farDataCentre, Service: routedService}
		if h.Near {
			m.DataCentre = nearDataCentre
		}
		members = append(members, m)
	}
	r.Update(origin, members)
	return &routedGateway{router: r, heard: make([]time.Time, len(hints))}
}

// choose shows the router what is new and asks it.
func (g *routedGateway) choose(q Query, hints []Hint) int {
	now := origin.Add(q.Now)
	for n, h := range hints {
		at := now.Add(-h.Age)
		if at.After(g.heard[n]) && h.Load.CapacityTokens > 0 {
			g.heard[n] = at
			g.router.Observe(now, strconv.Itoa(n), hintOf(h, at))
		}
	}
	r := comfreyrouter.Query{Service: routedService}
	if q.Prefix != "" {
		r.PrefixHash = xxhash.Sum64String(q.Prefix)
	}
	for _, n := range q.Tried {
		r.ExcludedHosts = append(r.ExcludedHosts, strconv.Itoa(n))
	}
	c, err := g.router.Choose(now, r)
	if err != nil {
		return -1
	}
	n, err := strconv.Atoi(c.Host)
	if err != nil {
		return -1
	}
	return n
}

func hintOf(h Hint, at time.Time) comfreyrouter.Hint {
	l := h.Load
	return comfreyrouter.Hint{
		Incarnation:         1,
		Accepting:           true,
		Running:             l.Running,
		Queued:              l.Queued,
		UsedTokens:          l.UsedTokens,
		CapacityTokens:      l.CapacityTokens,
		PredictedPeakTokens: l.PeakTokens,
		ExpectedWait:        l.ExpectedWait,
		At:                  at,
	}
}
