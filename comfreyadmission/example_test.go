package comfreyadmission_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

func ExampleController() {
	now := time.Unix(0, 0)
	c := comfreyadmission.New(comfreyadmission.Config{Policy: comfreyadmission.PolicyGreedy, CapacityTokens: 1000})
	fmt.Println(c.Submit(now, comfreyadmission.Request{ID: "a", PromptTokens: 600})[0].Kind)
	fmt.Println(c.Submit(now, comfreyadmission.Request{ID: "b", PromptTokens: 600})[0].Kind)
	for _, a := range c.Finish(now.Add(time.Second), "a", comfreyadmission.OutcomeCompleted) {
		fmt.Println(a.Kind, a.ID)
	}
	// Output:
	// admit
	// queue
	// admit b
}
