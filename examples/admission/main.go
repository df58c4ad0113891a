// Command admission drives the admission controller by hand: two requests fit
// into the engine's memory, a third one waits until the first has ended.
package main

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

func main() {
	now := time.Unix(0, 0)
	c := comfreyadmission.New(comfreyadmission.Config{Policy: comfreyadmission.PolicyReservation, CapacityTokens: 1000})
	for _, id := range []string{"first", "second", "third"} {
		show(c.Submit(now, comfreyadmission.Request{ID: id, PromptTokens: 100, MaxTokens: 350}))
	}
	show(c.Finish(now.Add(time.Second), "first", comfreyadmission.OutcomeCompleted))
}

func show(actions []comfreyadmission.Action) {
	for _, a := range actions {
		fmt.Println(a.ID, a.Kind)
	}
}
