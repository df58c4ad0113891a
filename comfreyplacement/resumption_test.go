package comfreyplacement_test

import (
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
