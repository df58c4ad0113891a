package comfreyplacement_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// TestNextResumption guards against a generation that is given up although a replica has
// its KV cache, and against one that is resumed while another replica may execute it.
func TestNextResumption(t *testing.T) {
	for name, c := range map[string]struct {
		state comfreyplacement.ResumeState
		want  comfreyplacement.Resumption
	}{
		"no copy":                              {comfreyplacement.ResumeState{}, comfreyplacement.ResumeNowhere},
		"a copy":                               {comfreyplacement.ResumeState{HasCopy: true}, comfreyplacement.ResumeAtCopy},
		"refused by the destination":           {comfreyplacement.ResumeState{WasTried: true, MayBeStopped: true}, comfreyplacement.ResumeAtSource},
		"refused, and the source has crashed":  {comfreyplacement.ResumeState{WasTried: true}, comfreyplacement.ResumeNowhere},
		"may run at the destination":           {comfreyplacement.ResumeState{WasTried: true, MayRun: true, MayBeStopped: true}, comfreyplacement.ResumeNowhere},
		"moved on from the destination":        {comfreyplacement.ResumeState{HasCopy: true, WasTried: true, MayRun: true}, comfreyplacement.ResumeAtCopy},
		"held back":                            {comfreyplacement.ResumeState{WasTried: true, MayBeStopped: true, IsHeld: true}, comfreyplacement.ResumeNowhere},
		"held back although there is a copy":   {comfreyplacement.ResumeState{HasCopy: true, WasTried: true, MayRun: true, IsHeld: true}, comfreyplacement.ResumeNowhere},
		"refused by the source that was asked": {comfreyplacement.ResumeState{WasTried: true, MayBeStopped: false}, comfreyplacement.ResumeNowhere},
		"a copy of what was refused":           {comfreyplacement.ResumeState{HasCopy: true, WasTried: true, MayBeStopped: true}, comfreyplacement.ResumeAtSource},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.state.Next(); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// TestGenerationIsStoppedBeforeItIsResumed guards against a generation that goes on at
// another replica because its stream has ended, while the one before executes it.
func TestGenerationIsStoppedBeforeItIsResumed(t *testing.T) {
	for name, c := range map[string]struct {
		state comfreyplacement.ResumeState
		want  comfreyplacement.Resumption
	}{
		"a copy, and the stream has ended":     {comfreyplacement.ResumeState{HasCopy: true, Run: comfreyplacement.RunPossible}, comfreyplacement.ResumeAfterStop},
		"no answer to the stop":                {comfreyplacement.ResumeState{HasCopy: true, Run: comfreyplacement.RunUnclear}, comfreyplacement.ResumeNowhere},
		"stopped":                              {comfreyplacement.ResumeState{HasCopy: true, Run: comfreyplacement.RunOver}, comfreyplacement.ResumeAtCopy},
		"lost again after a further copy":      {comfreyplacement.ResumeState{HasCopy: true, WasTried: true, MayRun: true, Run: comfreyplacement.RunPossible}, comfreyplacement.ResumeAfterStop},
		"refused by the destination":           {comfreyplacement.ResumeState{WasTried: true, MayBeStopped: true, Run: comfreyplacement.RunPossible}, comfreyplacement.ResumeAtSource},
		"nothing to resume from":               {comfreyplacement.ResumeState{Run: comfreyplacement.RunPossible}, comfreyplacement.ResumeNowhere},
		"held back, which a stop won't change": {comfreyplacement.ResumeState{HasCopy: true, IsHeld: true, Run: comfreyplacement.RunPossible}, comfreyplacement.ResumeNowhere},
	} {
		if got := c.state.Next(); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

// ExampleStopTiming shows when the end of a stream is known to be that of its generation.
func ExampleStopTiming() {
	fmt.Println(comfreyplacement.StopTiming{}.ExplainsEnd())
	fmt.Println(comfreyplacement.StopTiming{HasStreamEnded: true}.ExplainsEnd())
	fmt.Println(comfreyplacement.StopTiming{MayBeCopying: true}.ExplainsEnd())
	// Output:
	// true
	// false
	// false
}

// ExampleStopResult_RunState shows after which responses to a stop a generation may be
// resumed at another replica.
func ExampleStopResult_RunState() {
	for _, r := range []comfreyplacement.StopResult{comfreyplacement.StopEnded, comfreyplacement.StopUnreachable, comfreyplacement.StopTooEarly, comfreyplacement.StopUnclear} {
		fmt.Println(r.RunState() == comfreyplacement.RunOver, r.MayRetry())
	}
	// Output:
	// true false
	// true false
	// false true
	// false true
}
