package comfreyreplay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// meanSamples is how many answers the mean length is taken from.
	meanSamples = 20000
	// burstLength and calmLength are the mean lengths of the two states of the
	// arrival process.
	burstLength = 6 * time.Second
	calmLength  = 24 * time.Second
	// boundedShare is the share of the callers that state a bound.
	boundedShare = 0.3
	// boundedTokens is the bound that they state.
	boundedTokens = 4096
	// lostFor is how long a lost replica is away.
	lostFor = 15 * time.Second
)

// generator draws the records of a trace.
type generator struct {
	shape   Shape
	options GenerateOptions
	source  *rand.Rand
	mean    float64
	records []Record
}

// Generate returns the trace of a shape. The same shape and options give the
// same trace.
func Generate(s Shape, o GenerateOptions) []Record {
	if o.Replicas > 0 {
		s.Replicas = o.Replicas
	}
	g := &generator{shape: s, options: o, source: rand.New(rand.NewPCG(o.Seed, 5))}
	g.mean = g.meanAnswer()
	g.arrivals()
	return g.records
}

// meanAnswer estimates the mean answer of the shape.
func (g *generator) meanAnswer() float64 {
	sum := 0.0
	for range meanSamples {
		c := g.customer(1)
		sum += float64(g.answer(g.kind(c)))
	}
	return sum / meanSamples
}

// arrivals draws the arrival times from a two-state Poisson process, thinned
// from its highest rate.
func (g *generator) arrivals() {
	s, o := g.shape, g.options
	mean := o.Load * s.CapacityRate * float64(s.Replicas) / g.mean
	burst := max(o.Burst, 1)
	calm := (1 - burst*0.2) / 0.8 // bursts fill a fifth of the time
	if calm < 0 {
		burst, calm = 5, 0
	}
	highest := mean * burst * max(o.Crowd, 1) * math.Pi / 2
	gap := distuv.Exponential{Rate: highest, Src: g.source}
	bursting, until := false, time.Duration(0)
	lost := !o.Lost
	for t := time.Duration(0); ; {
		t += seconds(gap.Rand())
		if t >= o.Duration {
			return
		}
		if !lost && t >= o.Duration/2 {
			lost = true
			g.records = append(g.records, Record{At: o.Duration / 2, Event: EventReplicaLost, Replica: 1, For: lostFor})
		}
		for t >= until {
			bursting = !bursting
			until += g.stateLength(bursting)
		}
		f := calm
		if bursting {
			f = burst
		}
		crowd := g.crowd(t)
		rate := mean * f * g.daylight(t) * g.crowdedRate(crowd)
		if g.source.Float64()*highest < rate {
			g.request(t, crowd)
		}
	}
}

// stateLength draws the length of a burst or of the calm between two.
func (g *generator) stateLength(bursting bool) time.Duration {
	mean := calmLength
	if bursting {
		mean = burstLength
	}
	return seconds(distuv.Exponential{Rate: 1 / mean.Seconds(), Src: g.source}.Rand())
}

// daylight returns the relative rate at t, with mean 1 over the trace.
func (g *generator) daylight(t time.Duration) float64 {
	if !g.shape.Daylight {
		return 1
	}
	x := math.Sin(math.Pi * t.Seconds() / g.options.Duration.Seconds())
	return 0.7 + 0.3*math.Pi/2*x
}

// crowd returns the factor of the largest customer's rate at t.
func (g *generator) crowd(t time.Duration) float64 {
	x := t.Seconds() / g.options.Duration.Seconds()
	if x < 0.4 || x > 0.7 {
		return 1
	}
	return max(g.options.Crowd, 1)
}

// crowdedRate returns the relative rate of all customers if the largest one
// multiplies its own by crowd.
func (g *generator) crowdedRate(crowd float64) float64 {
	total := 0.0
	for _, c := range g.shape.Customers {
		total += c.Rate
	}
	first := g.shape.Customers[0].Rate
	return (total + (crowd-1)*first) / total
}

// request draws one request at t.
func (g *generator) request(t time.Duration, crowd float64) {
	c := g.customer(crowd)
	k := g.kind(c)
	own := distuv.LogNormal{Mu: math.Log(k.PromptTokens), Sigma: 0.7, Src: g.source}.Rand()
	r := Record{
		At:           t.Round(time.Microsecond),
		Request:      "r" + strconv.Itoa(len(g.records)),
		Customer:     c.Name,
		Service:      g.shape.Service,
		DataCentre:   g.shape.DataCentres[g.source.IntN(len(g.shape.DataCentres))],
		PromptTokens: c.PrefixTokens + int(min(own, 4000)),
		Prefix:       c.Name,
		PrefixTokens: c.PrefixTokens,
		AnswerTokens: g.answer(k),
		Patience:     defaultPatience,
	}
	if g.source.Float64() < boundedShare {
		r.MaxTokens = boundedTokens
		r.AnswerTokens = min(r.AnswerTokens, boundedTokens)
	}
	g.records = append(g.records, r)
}

// customer draws a customer, the first one with crowd times its rate.
func (g *generator) customer(crowd float64) CustomerShape {
	total := 0.0
	weight := func(i int) float64 {
		if i == 0 {
			return g.shape.Customers[i].Rate * crowd
		}
		return g.shape.Customers[i].Rate
	}
	for i := range g.shape.Customers {
		total += weight(i)
	}
	x := g.source.Float64() * total
	for i, c := range g.shape.Customers {
		x -= weight(i)
		if x < 0 {
			return c
		}
	}
	return g.shape.Customers[0]
}

// kind draws a kind of answer.
func (g *generator) kind(c CustomerShape) AnswerShape {
	total := 0.0
	for _, a := range c.Answers {
		total += a.Share
	}
	x := g.source.Float64() * total
	for _, a := range c.Answers {
		x -= a.Share
		if x < 0 {
			return a
		}
	}
	return c.Answers[0]
}

// answer draws the length of an answer.
func (g *generator) answer(a AnswerShape) int {
	var x float64
	if g.source.Float64() < a.TailShare {
		x = distuv.Pareto{Xm: a.TailTokens, Alpha: a.TailIndex, Src: g.source}.Rand()
	} else {
		x = distuv.LogNormal{Mu: math.Log(a.MedianTokens), Sigma: a.Spread, Src: g.source}.Rand()
	}
	return int(min(max(x, 1), maxAnswerTokens))
}

// seconds returns x seconds.
func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
