package comfreyroute_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyroute"
)

func ExampleHomes_With() {
	route, customer := comfreyroute.NewHomes("north", "west"), comfreyroute.NewHomes("west", "south")
	h := route.With(customer)
	fmt.Println(h, h.Allow("west"), h.Allow("north"))
	fmt.Println(route.With(comfreyroute.Homes{}), comfreyroute.Homes{}, comfreyroute.NewHomes("north").With(customer))
	// Output:
	// west true false
	// north,west any none
}

func TestUnknownRegionIsNoHome(t *testing.T) {
	if comfreyroute.NewHomes("north").Allow("") || comfreyroute.NewHomes("").Allow("") || !(comfreyroute.Homes{}).Allow("") {
		t.Error("a region that is not known must be allowed only without homes")
	}
}
