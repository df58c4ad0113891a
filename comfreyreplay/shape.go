package comfreyreplay

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

// Shape holds the parameters of a generated trace. Shapes are values.
type Shape struct {
	// Name is the kebab-case name of the shape.
	Name string
	// Service is the service that is asked.
	Service string
	// DataCentres are where callers enter.
	DataCentres []string
	// Replicas is the number of engines, spread over the data centres.
	Replicas int
	// Customers are those that ask.
	Customers []CustomerShape
	// CapacityRate is the answer tokens a second and replica that Load 1
	// offers.
	CapacityRate float64
	// Daylight makes the rate rise and fall over the trace.
	Daylight bool
}

// CustomerShape holds the parameters of one customer.
type CustomerShape struct {
	// Name is the customer.
	Name string
	// Rate is the relative rate of its requests.
	Rate float64
	// PrefixTokens is the length of the prefix that its prompts share.
	PrefixTokens int
	// Answers are the kinds of answer that it asks for.
	Answers []AnswerShape
}

// AnswerShape is a lognormal distribution of answers with a Pareto tail.
type AnswerShape struct {
	// Share is the relative frequency.
	Share float64
	// MedianTokens and Spread are those of the lognormal distribution.
	MedianTokens, Spread float64
	// TailShare is the share of answers that come from the tail, from 0 to 1.
	TailShare float64
	// TailTokens is the shortest answer of the tail, TailIndex its Pareto index.
	TailTokens, TailIndex float64
	// PromptTokens is the median of the part of the prompt that is not shared.
	PromptTokens float64
}

// maxAnswerTokens is the longest answer of a generated trace.
const maxAnswerTokens = 12000

// GenerateOptions are the parameters of a generated trace that vary between
// runs.
type GenerateOptions struct {
	// Seed selects the random numbers.
	Seed uint64
	// Load is the offered answer tokens as a share of the capacity.
	Load float64
	// Duration is the length of the trace.
	Duration time.Duration
	// Burst is the rate within bursts as a multiple of the mean rate; 1 or less
	// means none.
	Burst float64
	// Crowd is the factor by which the largest customer raises its rate in the
	// middle of the trace; 1 means not at all.
	Crowd float64
	// Replicas overrides the shape's number if it is above zero.
	Replicas int
	// Lost makes a replica die in the middle.
	Lost bool
}

var (
	quote    = AnswerShape{MedianTokens: 60, Spread: 0.6, PromptTokens: 150}
	template = AnswerShape{MedianTokens: 350, Spread: 0.7, TailShare: 0.1, TailTokens: 900, TailIndex: 1.6, PromptTokens: 250}
	check    = AnswerShape{MedianTokens: 50, Spread: 0.6, PromptTokens: 120}
	report   = AnswerShape{MedianTokens: 1200, Spread: 0.6, TailShare: 0.1, TailTokens: 2500, TailIndex: 1.8, PromptTokens: 500}
)

// GravurePierre returns the shape of Gravure Pierre Templating: mostly quotes
// and cutting templates, three data centres, a few large customers.
func GravurePierre() Shape {
	s := Shape{
		Name:         "gravure-pierre",
		Service:      "templates",
		DataCentres:  []string{"brussels", "leuven", "namur"},
		Replicas:     12,
		CapacityRate: 2850,
	}
	for i, rate := range []float64{30, 18, 12, 8, 8, 6, 6, 4, 4, 4} {
		s.Customers = append(s.Customers, CustomerShape{
			Name:         fmt.Sprintf("mason-%02d", i+1),
			Rate:         rate,
			PrefixTokens: 200 + 50*(i%5),
			Answers:      []AnswerShape{quote.withShare(0.4 + 0.05*float64(i%6)), template.withShare(0.5 - 0.05*float64(i%6))},
		})
	}
	return s
}

// AlJabal returns the shape of Al Jabal Cold Rooms: long reports by site leads
// among quick checks by the sales desk, four data centres, daylight.
func AlJabal() Shape {
	s := Shape{
		Name:         "al-jabal",
		Service:      "assistant",
		DataCentres:  []string{"seeb", "ruwi", "muttrah", "bawshar"},
		Replicas:     12,
		CapacityRate: 1770,
		Daylight:     true,
	}
	for i, rate := range []float64{30, 20, 10, 8, 8, 6, 6, 4, 4, 4} {
		c := CustomerShape{Name: fmt.Sprintf("crew-%02d", i+1), Rate: rate, PrefixTokens: 300, Answers: []AnswerShape{check.withShare(0.3), report.withShare(0.7)}}
		if i%2 == 1 {
			c.Name = fmt.Sprintf("desk-%02d", i+1)
			c.Answers = []AnswerShape{check.withShare(0.9), report.withShare(0.1)}
		}
		s.Customers = append(s.Customers, c)
	}
	return s
}

// Shapes returns the known shapes.
func Shapes() []Shape {
	return []Shape{GravurePierre(), AlJabal()}
}

// ShapeNamed returns the shape called name. It returns an error for any other
// text.
func ShapeNamed(name string) (Shape, error) {
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, fmt.Errorf("comfreyreplay: unknown shape %q", name)
}

// withShare returns a copy of a with another share.
func (a AnswerShape) withShare(share float64) AnswerShape {
	a.Share = share
	return a
}

// Preset returns the preset that the user of the shape weighs most.
func (s Shape) Preset() comfreyadmission.Preset {
	if s.Daylight {
		return comfreyadmission.PresetPreemptions
	}
	return comfreyadmission.PresetStallTime
}
