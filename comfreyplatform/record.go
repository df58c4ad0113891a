package comfreyplatform

import (
	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// RecordRevisions returns a function for AgentConfig.Observe that records each
// accepted or refused revision as a decision.
func RecordRevisions(r *comfreydecision.Recorder) func(a comfreyconfig.Action) {
	return func(a comfreyconfig.Action) {
		switch a.Kind {
		case comfreyconfig.ActionActivated:
			r.Record("", comfreydecision.KindRevision, comfreyverdict.ReasonConfigTaken, map[string]any{
				"revision": a.Revision.Number, "hash": a.Revision.Hash.Short(), "files": len(a.Revision.Files),
			})
		case comfreyconfig.ActionReportOutcome:
			r.Record("", comfreydecision.KindRevision, a.Outcome.Reason(), reportFigures(a))
		default:
		}
	}
}

// reportFigures returns the fields of the decision on a refused revision,
// including the first of its faults.
func reportFigures(a comfreyconfig.Action) map[string]any {
	m := map[string]any{"revision": a.Number, "hash": a.Hash.Short()}
	if len(a.Faults) > 0 {
		m["faults"] = len(a.Faults)
		m["first-fault"] = a.Faults[0].String()
	}
	return m
}
