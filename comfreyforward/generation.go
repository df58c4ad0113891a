package comfreyforward

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// continuation says where a generation goes on.
type continuation struct {
	candidate comfreyplacement.Candidate
	comfreycall.Continuation
	// made is when the copy was complete.
	made time.Time
	// took is how long it took.
	took time.Duration
}

// generation is one caller's stream while it runs. Its fields are guarded by
// the gateway's mutex, but for the constant ones.
type generation struct {
	request      string
	service      comfreyroute.Service
	promptTokens int
	maxTokens    int
	class        string

	replica   comfreyplacement.Candidate
	events    int
	lastEvent string
	hasEnded  bool
	// moves counts the replicas at which it went on.
	moves int
	// isMoving is true while a move of the run is under way.
	isMoving bool
	// destination is where a move that was decided upon leads; nil if the move
	// has to choose.
	destination *comfreyplacement.Candidate
	// next is where the generation goes on if its stream ends early.
	next *continuation
}

// grown returns how many tokens were generated. The mutex must be held.
func (n *generation) grown() int {
	return n.events * n.service.Engine.TokensPerEvent
}

// tokens returns the memory that the run holds. The mutex must be held.
func (n *generation) tokens() int {
	return n.promptTokens + n.grown()
}

// movable describes the generation for a decision on moves. The mutex must be
// held.
func (n *generation) movable() comfreyplacement.Movable {
	return comfreyplacement.Movable{Tokens: n.tokens(), HasBegun: n.events > 0}
}

// track adds a generation to the running ones.
func (g *Gateway) track(n *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[n] = struct{}{}
}

// noteStart notes at which replica a generation runs. The mutex must be held.
func (g *Gateway) noteStart(n *generation, c comfreyplacement.Candidate) {
	n.replica = c
	g.board.Start(comfreyoccupancy.Generation{
		ID: n.request, Replica: c.ID, PromptTokens: n.promptTokens, GeneratedTokens: n.grown(),
		RemainingTokens: g.remaining(n), IsDecoding: n.events > 0,
	})
}

// remaining returns how many tokens are expected to follow. The mutex must be
// held.
func (g *Gateway) remaining(n *generation) float64 {
	left := g.curve(n).RemainingTokens(n.grown())
	if n.maxTokens > 0 {
		left = min(left, float64(max(n.maxTokens-n.grown(), 0)))
	}
	return left
}

// noteEvent notes an event that was passed on.
func (g *Gateway) noteEvent(n *generation, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := n.grown()
	n.events++
	n.lastEvent = id
	g.curve(n).ObserveGrowth(before, n.grown())
	if n.events%progressEvents == 1 {
		g.board.Progress(n.request, n.grown(), g.remaining(n))
	}
}

// progressEvents is after how many events the expected growth is worked out
// again.
const progressEvents = 8

// untrack removes a generation that has ended.
func (g *Gateway) untrack(n *generation, isComplete bool) {
	g.mu.Lock()
	n.hasEnded = true
	delete(g.streams, n)
	g.board.Finish(g.config.Now(), n.request)
	if isComplete {
		g.curve(n).ObserveEnd(n.grown())
	}
	next := n.next
	n.next = nil
	g.mu.Unlock()
	if next != nil {
		g.dropCopy(next)
	}
	g.waiting.wake()
}

// goesOn returns where a generation goes on whose stream ended early, or nil if
// it cannot.
func (g *Gateway) goesOn(n *generation) *continuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := n.next
	n.next = nil
	if next != nil {
		n.moves++
		next.LastEvent = n.lastEvent
		g.noteStart(n, next.candidate)
		g.board.Finish(g.config.Now(), copyID(n)) // The run has taken the room of its copy.
	}
	return next
}
