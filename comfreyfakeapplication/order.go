package comfreyfakeapplication

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// PoisonText crashes the application that runs an order with it.
const PoisonText = "poison-pill"

// RunRecord is the ground truth about one order.
type RunRecord struct {
	// Began counts the times that the order began to run. Above 1, the order
	// was doubled.
	Began int `json:"began"`
	// Finished counts the runs that came to their end.
	Finished int `json:"finished"`
}

// Receipt is the answer to an order.
type Receipt struct {
	Order string `json:"order"`
	Run   int    `json:"run"`
}

// Runs returns the ground truth by order id. It outlives crashes.
func (a *Application) Runs() map[string]RunRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.runs)
}

func (a *Application) serveRuns(w http.ResponseWriter, _ *http.Request) {
	comfreyfakeserver.WriteJSON(w, http.StatusOK, a.Runs())
}

// serveOrder runs an order, every time anew: the application does not know
// that two requests are one order.
func (a *Application) serveOrder(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := OrderID(r.Header.Get("X-Order-Id"), b)
	f := a.takeFailure()
	if f == FailureBeforeRun {
		a.crashAndAbort()
	}
	died := a.begin(id)
	if bytes.Contains(b, []byte(PoisonText)) {
		a.crashAndAbort()
	}
	a.run(died)
	n := a.finish(id)
	if f == FailureAfterRun {
		a.crashAndAbort()
	}
	comfreyfakeserver.WriteJSON(w, http.StatusCreated, Receipt{Order: id, Run: n})
}

// OrderID returns the id under which the ground truth keeps an order: the
// X-Order-Id header or, if it is empty, the hash of the body.
func OrderID(header string, body []byte) string {
	if header != "" {
		return header
	}
	return fmt.Sprintf("body-%016x", xxhash.Sum64(body))
}

// begin notes that an order runs, and returns the channel that closes when the
// process that runs it dies.
func (a *Application) begin(id string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[id]
	r.Began++
	a.runs[id] = r
	return a.died
}

// finish notes the end of an order and returns how many there were.
func (a *Application) finish(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[id]
	r.Finished++
	a.runs[id] = r
	return r.Finished
}

// run lasts for the order's time. The caller's going does not end it.
func (a *Application) run(died <-chan struct{}) {
	if a.config.OrderTime <= 0 {
		return
	}
	wait(a.config.OrderTime, died, nil)
}
