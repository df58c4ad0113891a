// Package comfreyarch lists the layers of the module. Its tests assert that
// imports run from adapters to core packages and never back, and that
// goroutines are started through a group.
package comfreyarch

// Core lists the decision packages. They hold state and policy, and they use
// no socket, no wall clock and no goroutine.
var Core = []string{
	"comfreyverdict",
	"comfreyinvariant",
	"comfreyring",
	"comfreylength",
	"comfreyadmission",
	"comfreyrouter",
	"comfreystream",
	"comfreyorder",
	"comfreyquarantine",
	"comfreyfleet",
	"comfreymover",
	"comfreyconfig",
	"comfreycall",
	"comfreyroute",
	"comfreymirror",
	"comfreyreplica",
	"comfreyoccupancy",
	"comfreyplacement",
}
