package comfreyforward

import (
	"context"
	"time"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyroute"
)

// continuation is a KV copy from which a generation can be resumed.
type continuation struct {
	// source is the replica that made the copy.
	source      string
	destination comfreyplacement.Candidate
	// holder is the start of the destination that has the copy.
	holder comfreyreplica.Start
	comfreycall.Continuation
	// completedAt is when the latest copy was complete.
	completedAt time.Time
	// generatedTokens is how many output tokens there were when the first copy
	// began.
	generatedTokens int
	// former is the replica that executed the generation before, and stop the call that
	// stopped it there; nil if there was none. Both are set when the copy is taken.
	former comfreyplacement.Candidate
	stop   *stopCall
}

// generation is one caller's stream while it is executed. The mutex of the
// gateway guards its fields, except for those that never change.
type generation struct {
	request      string
	service      comfreyroute.Service
	homes        comfreyroute.Homes
	pauses       comfreyplacement.Pauses
	promptTokens int
	maxTokens    int
	class        string

	// sentAt is when the generation was last sent to its first replica. Only the
	// goroutine of its request uses it.
	sentAt time.Time

	// replica executes the generation since placedAt.
	replica  comfreyplacement.Candidate
	placedAt time.Time
	// events is the number of events that were sent to the caller here.
	events int
	// lastEvent is the id of the last event that the caller has, also from an earlier
	// connection; empty if it has none.
	lastEvent string
	hasEnded  bool
	// moves counts how often the generation was resumed at another replica.
	moves int
	// isMoving is true while a move is in progress. firstCopy is then closed when its
	// first copy has been made or has failed.
	isMoving  bool
	firstCopy chan struct{}
	// mayBeCopying means that the replica has not confirmed the end of the latest copy.
	mayBeCopying bool
	// isInterrupted means that the stream has ended early and was not resumed yet.
	isInterrupted bool
	// needsRoomUntil is until when the generation counts as one that has to move and for
	// which no replica has room.
	needsRoomUntil time.Time
	// refusedBy are the replicas that did not resume the generation from a copy.
	refusedBy map[string]bool
	// destination is the destination of a move for rebalancing; nil if the move
	// has to choose it.
	destination *comfreyplacement.Candidate
	// stop is the latest call that stops the generation at its replica; nil if there
	// was none there.
	stop *stopCall
	// continuation is where the generation is resumed if its stream ends early;
	// nil if there is no copy.
	continuation *continuation
}

// setReplica sets the replica that executes the generation from now on. A stop at the
// previous one says nothing about it. The mutex must be held.
func (n *generation) setReplica(now time.Time, c comfreyplacement.Candidate) {
	n.replica, n.placedAt, n.stop = c, now, nil
	n.isInterrupted, n.mayBeCopying = false, false
}

// generatedTokens returns the number of output tokens so far. The mutex must be
// held.
func (n *generation) generatedTokens() int {
	return n.events * n.service.Engine.TokensPerEvent
}

// kvTokens returns the size of the generation's KV cache. The mutex must be
// held.
func (n *generation) kvTokens() int {
	return n.promptTokens + n.generatedTokens()
}

// movable returns the generation as an input of move decisions. The mutex must
// be held.
func (n *generation) movable() comfreyplacement.Movable {
	return comfreyplacement.Movable{Tokens: n.kvTokens(), IsDecoding: n.events > 0}
}

// addGeneration adds a generation to the open ones.
func (g *Gateway) addGeneration(n *generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generations[n] = struct{}{}
}

// trackPlacement records the replica that executes a generation, and counts its
// memory there. The mutex must be held.
func (g *Gateway) trackPlacement(n *generation, c comfreyplacement.Candidate) {
	n.setReplica(g.config.Now(), c)
	g.trackLoad(n, c)
}

// trackLoad counts the memory of a generation at a replica that executes it or
// is asked for a reservation. The mutex must be held.
func (g *Gateway) trackLoad(n *generation, c comfreyplacement.Candidate) {
	g.estimator.Start(g.config.Now(), comfreyoccupancy.Generation{
		ID: n.request, Replica: c.ID, PromptTokens: n.promptTokens, GeneratedTokens: n.generatedTokens(),
		RemainingTokens: g.remainingTokens(n), IsDecoding: n.events > 0,
	})
}

// remainingTokens returns the expected number of output tokens that follow. The
// mutex must be held.
func (g *Gateway) remainingTokens(n *generation) float64 {
	left := g.lengthDistribution(n).RemainingTokens(n.generatedTokens())
	if n.maxTokens > 0 {
		left = min(left, float64(max(n.maxTokens-n.generatedTokens(), 0)))
	}
	return left
}

// countEvent records an event that was sent to the caller. The first one ends a
// prefill, because of which waiting requests may have avoided the replica.
func (g *Gateway) countEvent(x *exchange, n *generation, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordOutput(x)
	before := n.generatedTokens()
	n.events++
	n.lastEvent = id
	g.lengthDistribution(n).ObserveGrowth(before, n.generatedTokens())
	if n.events%eventsPerEstimate == 1 {
		g.estimator.Progress(n.request, n.generatedTokens(), g.remainingTokens(n))
	}
	if n.events == 1 {
		g.capacityChanges.notify()
	}
}

// lastEvent returns the id of the last event that the caller of a generation has.
func (g *Gateway) lastEvent(n *generation) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.lastEvent
}

// eventsPerEstimate is the number of events after which the expected remaining
// tokens are estimated again.
const eventsPerEstimate = 8

// removeGeneration removes a generation that has ended. A complete one also
// updates the length distribution.
func (g *Gateway) removeGeneration(n *generation, isComplete bool) {
	g.mu.Lock()
	n.hasEnded = true
	delete(g.generations, n)
	g.estimator.Finish(g.config.Now(), n.request)
	if isComplete {
		g.lengthDistribution(n).ObserveEnd(n.generatedTokens())
	}
	next := n.continuation
	n.continuation = nil
	g.mu.Unlock()
	if next != nil {
		g.releaseCopy(next)
	}
	g.capacityChanges.notify()
}

// canResume reports whether a generation, which may be nil, has a copy from which it can
// be resumed. The end of its stream is then no fault of its replica.
func (g *Gateway) canResume(n *generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n != nil && n.continuation != nil
}

// awaitFirstCopy waits until the first copy of a move in progress has been made, and reports
// whether there is a copy from which the generation can be resumed.
func (g *Gateway) awaitFirstCopy(ctx context.Context, n *generation) bool {
	g.mu.Lock()
	n.isInterrupted = true
	isMoving, copied := n.isMoving, n.firstCopy
	g.mu.Unlock()
	if isMoving {
		ctx, cancel := context.WithTimeout(ctx, endRunTimeout)
		defer cancel()
		select {
		case <-copied:
		case <-ctx.Done():
		}
	}
	return g.canResume(n)
}

// beginMoving marks a generation as moving. The mutex must be held.
func (n *generation) beginMoving() {
	n.isMoving, n.firstCopy = true, make(chan struct{})
}

// takeContinuation returns where a generation whose stream ended early is
// resumed, and makes it the generation's placement. It returns nil if there is
// no copy.
func (g *Gateway) takeContinuation(n *generation) *continuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := n.continuation
	n.continuation = nil
	if next != nil {
		n.moves++
		next.former, next.stop = n.replica, n.stop
		next.LastEvent, next.HasProgress = n.lastEvent, n.events > 0
		g.trackPlacement(n, next.destination)
		g.estimator.Finish(g.config.Now(), kvCopyID(n)) // The generation now occupies the memory of its copy.
	}
	return next
}
