package comfreyforward

import "testing"

// TestNextResumption guards against a generation that is given up although a replica has
// its KV cache, and against one that is resumed while another replica may execute it.
func TestNextResumption(t *testing.T) {
	for name, c := range map[string]struct {
		state resumeState
		want  resumption
	}{
		"no copy":                              {resumeState{}, resumeNowhere},
		"a copy":                               {resumeState{hasCopy: true}, resumeAtCopy},
		"refused by the destination":           {resumeState{wasTried: true, mayBeStopped: true}, resumeAtSource},
		"refused, and the source has crashed":  {resumeState{wasTried: true}, resumeNowhere},
		"may run at the destination":           {resumeState{wasTried: true, mayRun: true, mayBeStopped: true}, resumeNowhere},
		"moved on from the destination":        {resumeState{hasCopy: true, wasTried: true, mayRun: true}, resumeAtCopy},
		"held back":                            {resumeState{wasTried: true, mayBeStopped: true, isHeld: true}, resumeNowhere},
		"held back although there is a copy":   {resumeState{hasCopy: true, wasTried: true, mayRun: true, isHeld: true}, resumeNowhere},
		"refused by the source that was asked": {resumeState{wasTried: true, mayBeStopped: false}, resumeNowhere},
		"a copy of what was refused":           {resumeState{hasCopy: true, wasTried: true, mayBeStopped: true}, resumeAtSource},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.state.next(); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
