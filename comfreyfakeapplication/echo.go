package comfreyfakeapplication

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// Echo is the answer of the echo endpoint.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// serveEcho answers with the request. The query may name a "delay", such as
// 20ms, and a "status".
func (a *Application) serveEcho(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	d, err := time.ParseDuration(q.Get("delay"))
	if err == nil && d > 0 {
		wait(d, a.death(), r.Context().Done())
	}
	status, err := strconv.Atoi(q.Get("status"))
	if err != nil || status < http.StatusOK || status > maxStatus {
		status = http.StatusOK
	}
	comfreyfakeserver.WriteJSON(w, status, Echo{
		Method: r.Method,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Header: r.Header,
		Body:   string(b),
	})
}

// maxStatus is the highest status that HTTP defines room for.
const maxStatus = 599

// death returns the channel that closes when the application crashes.
func (a *Application) death() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.died
}

// wait lasts for d. It gives up the connection if the application dies or the
// caller goes.
func wait(d time.Duration, died, gone <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-died:
		panic(http.ErrAbortHandler)
	case <-gone:
		panic(http.ErrAbortHandler)
	}
}
