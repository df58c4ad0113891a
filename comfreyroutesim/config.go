package comfreyroutesim

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyrouter"
)

// Config describes one run. Every field without a stated default has to be
// set.
type Config struct {
	// Seed selects the random numbers of the run.
	Seed uint64
	// Gateways, Replicas and DataCentres give the size of the fleet.
	Gateways, Replicas, DataCentres int
	// Slots is how many requests a replica runs at once.
	Slots int
	// QueueLimit is how many requests may wait in a sidecar.
	QueueLimit int
	// Utilisation is the offered load as a part of all slots.
	Utilisation float64
	// Skew multiplies the load of the first data centre's gateways; zero
	// means 1. The others get less, so that the sum stays.
	Skew float64
	// ServiceMean and ServiceSigma give the lognormal service times.
	ServiceMean  time.Duration
	ServiceSigma float64
	// Prefixes is how many prompt prefixes there are; zero means that every
	// prompt is new. CachedPrefixes is how many a replica keeps, and Prefill
	// what one that is not kept costs.
	Prefixes, CachedPrefixes int
	Prefill                  time.Duration
	// Affinity makes the gateways route by prefix.
	Affinity bool
	// HintPeriod is how often a gateway gets the hints of its subset, all at
	// once: zero gives them with every choice, and a negative value leaves it
	// to answers and probes.
	HintPeriod time.Duration
	// HintDelay is how old a hint on an answer is when it arrives.
	HintDelay time.Duration
	// Router is the configuration of the routers, without the names.
	Router comfreyrouter.Config
	// NoBudget lets every refusal be retried as often as MaxAttempts allows.
	NoBudget bool
	// Patience is how long a caller waits for its first token.
	Patience time.Duration
	// Returns is how often a refused caller comes back.
	Returns int
	// FaultFrom and FaultTo bound the time in which the first data centre's
	// upstreams are down; no fault if they are equal.
	FaultFrom, FaultTo time.Duration
	// Warmup passes before the measurement, which takes Duration.
	Warmup, Duration time.Duration
}
