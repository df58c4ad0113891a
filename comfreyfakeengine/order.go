package comfreyfakeengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// loader carries out the orders of an engine, one at a time.
type loader struct {
	state   comfreyengine.State
	readyAt time.Time
	taken   []comfreyengine.Command
}

// settle completes the pending order if its time has come.
func (l *loader) settle(now time.Time) {
	p := l.state.Pending
	if p == nil || now.Before(l.readyAt) {
		return
	}
	l.state.Pending = nil
	switch p.Kind {
	case comfreyengine.CommandLoadModel:
		l.load(p.Value)
	case comfreyengine.CommandLoadAdapter:
		l.state.Adapter = p.Value
	case comfreyengine.CommandLoadVersion:
		l.state.Version = p.Value
	case comfreyengine.CommandChangeRole:
		l.state.Role = p.Value
	}
}

// load sets the model, and the version behind an @ sign if there is one. A new
// model has no adapter.
func (l *loader) load(value string) {
	model, version, ok := strings.Cut(value, "@")
	l.state.Model = model
	l.state.Adapter = ""
	if ok {
		l.state.Version = version
	}
}

// State returns what the engine has loaded.
func (e *Engine) State() comfreyengine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loader.settle(e.config.Now())
	s := e.loader.state
	s.Identity = e.identity
	s.Reclaimed = e.reclaimed
	return s
}

// Orders returns the orders that the engine obeyed, in order.
func (e *Engine) Orders() []comfreyengine.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loader.taken)
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	comfreyfakeserver.WriteJSON(w, http.StatusOK, e.Orders())
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	comfreyfakeserver.WriteJSON(w, http.StatusOK, e.State())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o comfreyengine.Command
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o)
	kinds := []comfreyengine.CommandKind{comfreyengine.CommandLoadModel, comfreyengine.CommandLoadAdapter, comfreyengine.CommandLoadVersion, comfreyengine.CommandChangeRole}
	if err != nil || !slices.Contains(kinds, o.Kind) {
		writeError(w, http.StatusBadRequest, "not an order")
		return
	}
	if !e.take(o) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	comfreyfakeserver.WriteJSON(w, http.StatusAccepted, e.State())
}

// take begins an order unless its fencing number is refused. A new order
// replaces the pending one.
func (e *Engine) take(o comfreyengine.Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.loader
	now := e.config.Now()
	l.settle(now)
	if e.config.Fencing == FencingEnforced && o.FencingNumber < l.state.FencingNumber {
		return false
	}
	l.state.FencingNumber = o.FencingNumber
	l.taken = append(l.taken, o)
	l.state.LastError = ""
	if o.Kind != comfreyengine.CommandChangeRole {
		if err := e.config.FetchWeights(); err != nil {
			l.state.LastError = err.Error()
			return true
		}
	}
	l.state.Pending = &o
	l.readyAt = now.Add(e.config.LoadTime)
	return true
}
