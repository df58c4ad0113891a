package comfreyconfig

// maxTextBytes is the maximum length of a text value.
const maxTextBytes = 200

// maxReplicas is the maximum value of Upstream.Replicas.
const maxReplicas = 100_000

// Upstream is the desired state of the upstreams of one service. Upstreams are
// immutable values.
type Upstream struct {
	// Service is the name of the service.
	Service string
	// Model is the name of the model in the weight store; empty for a plain
	// service.
	Model string
	// Adapter is the name of the adapter on the model; empty for none.
	Adapter string
	// Version is the version of the model or application.
	Version string
	// Role is the role of the engine, such as "mixed"; empty leaves the role of
	// each engine unchanged.
	Role string
	// Replicas is the number of live upstreams that the operator expects; 0
	// means no expectation.
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
	// Name is the name of the data centre, as in the settings of its processes.
	Name string
	// Region groups neighbouring data centres; it may be empty.
	Region string
}

var dataCentreFields = []field[DataCentre]{
	textField("region", maxTextBytes, func(d *DataCentre) *string { return &d.Region }),
}
