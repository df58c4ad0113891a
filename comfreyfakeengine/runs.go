package comfreyfakeengine

import (
	"maps"
	"net/http"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// RunRecord is the ground truth about one request id.
type RunRecord struct {
	// Accepted counts the times that the engine took the request.
	Accepted int `json:"accepted"`
	// Began counts the times that the engine began to compute it.
	Began int `json:"began"`
	// Finished counts the complete answers.
	Finished int `json:"finished"`
	// Cancelled counts the answers that were cancelled or lingered too long.
	Cancelled int `json:"cancelled"`
	// Lost counts the answers that a crash ended.
	Lost int `json:"lost"`
	// Preempted counts the preemptions.
	Preempted int `json:"preempted"`
	// Generations lists the generation ids in order.
	Generations []string `json:"generations"`
}

// Runs returns the ground truth by request id. It outlives crashes.
func (e *Engine) Runs() map[string]RunRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// note changes the ground truth about a request. The caller holds e.mu.
func (e *Engine) note(request string, change func(r *RunRecord)) {
	r := e.runs[request]
	change(&r)
	e.runs[request] = r
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	comfreyfakeserver.WriteJSON(w, http.StatusOK, e.Runs())
}
