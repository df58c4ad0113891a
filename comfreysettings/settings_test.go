package comfreysettings_test

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreysettings"
)

func ExampleSidecar_Check() {
	s := comfreysettings.Sidecar{Service: "quotes", Upstream: "127.0.0.1:8000", Fencing: "ignored"}
	s.Host = "host-1"
	s.DataCentre = "leuven"
	s.Listen = "127.0.0.1"
	s.Platform = "http://127.0.0.1:7000"
	s.Key = "short"
	s.LogLevel = "info"
	fmt.Println(s.Check())
	// Output:
	// comfreysettings: --listen: "127.0.0.1" is not an address of the form host:port
	// comfreysettings: --key: at least 16 bytes are needed, and 5 are given
	// comfreysettings: --upstream: "127.0.0.1:8000" is not a URL of the form http://host:port
}
