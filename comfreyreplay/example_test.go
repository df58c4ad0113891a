package comfreyreplay_test

import (
	"fmt"
	"strings"

	"comfreyridge.example/comfreyridge/comfreyreplay"
)

func ExampleReadTrace() {
	records, err := comfreyreplay.ReadTrace(strings.NewReader(`# comfreyridge-trace 1
at=1.5s request=a customer=crew-01 service=assistant data-centre=seeb prompt-tokens=320 answer-tokens=48
at=2s event=replica-lost replica=1 for=15s
`))
	fmt.Println(len(records), records[0].Customer, records[1].Event, err)
	_, err = comfreyreplay.ReadTrace(strings.NewReader("# comfreyridge-trace 1\nat=1s colour=red\n"))
	fmt.Println(err)
	// Output:
	// 2 crew-01 replica-lost <nil>
	// comfreyreplay: line 2: colour: unknown field
}
