package comfreyconfig

// maxTextBytes is the longest free text of a value.
const maxTextBytes = 200

// maxReplicas is the largest expected number of replicas.
const maxReplicas = 100_000

// Upstream is the state that the upstreams of one service are moved to.
// Upstreams are immutable values.
type Upstream struct {
	// Service is the name of the service.
	Service string
	// Model is the name of the model that the weight store knows; empty for a
	// plain service.
	Model string
	// Adapter is the name of the adapter on the model; empty for none.
	Adapter string
	// Version is the version of the model or application.
	Version string
	// Role is the role of the engine, such as "mixed"; empty leaves the role
	// that the engine has.
	Role string
	// Replicas is how many upstreams the operator expects to be live; 0 states
	// no expectation.
	Replicas int
}

var upstreamFields = []field[Upstream]{
	textField("model", maxTextBytes, func(u *Upstream) *string { return &u.Model }),
	textField("adapter", maxTextBytes, func(u *Upstream) *string { return &u.Adapter }),
	textField("version", maxTextBytes, func(u *Upstream) *string { return &u.Version }),
	textField("role", maxTextBytes, func(u *Upstream) *string { return &u.Role }),
	intField("replicas", 0, maxReplicas, func(u *Upstream) *int { return &u.Replicas }),
}

// DataCentre is one data centre that rules may name.
type DataCentre struct {
	// Name is the name that processes learn from their own settings.
	Name string
	// Region groups data centres that lie near one another; may be empty.
	Region string
}

var dataCentreFields = []field[DataCentre]{
	textField("region", maxTextBytes, func(d *DataCentre) *string { return &d.Region }),
}
