package comfreyorder

import (
	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const invariantSentOnce comfreyinvariant.Name = "post-sent-once"

// PostTracker follows one non-idempotent request that came without a ticket. It
// allows another attempt only while it is proven that no earlier one runs. The
// zero value is a request that was not sent. A PostTracker is not safe for concurrent
// use.
type PostTracker struct {
	attempt int
	sent    int
	isOver  bool
}

// NextAttempt opens the next attempt and returns its number, from 1. It reports
// false if the request must not be sent again.
func (p *PostTracker) NextAttempt() (int, bool) {
	if p.isOver || p.sent > 0 {
		return 0, false
	}
	p.attempt++
	return p.attempt, true
}

// BeginSend must be called before the first byte of an attempt is written, and
// nothing may be written unless it reports true.
func (p *PostTracker) BeginSend(attempt int) bool {
	if p.isOver || p.sent > 0 || attempt != p.attempt {
		return false
	}
	p.sent++
	comfreyinvariant.Check(p.sent == 1, invariantSentOnce, "attempt %d makes %d copies", attempt, p.sent)
	return true
}

// Refused takes a refusal that the peer sent in answer to an attempt. A
// not-run refusal of the latest attempt allows another one, because the peer
// has made sure that a late copy does not run either. A refusal of an earlier
// attempt is ignored, and any other verdict is final.
func (p *PostTracker) Refused(attempt int, e comfreyverdict.Error) {
	if attempt != p.attempt {
		return
	}
	if e.Verdict == comfreyverdict.VerdictNotRun {
		p.sent = 0
		return
	}
	p.isOver = true
}

// Completed takes the complete answer of the upstream and allows no more
// attempts.
func (p *PostTracker) Completed() {
	p.isOver = true
}

// Failed returns what the end of the latest attempt without an answer, such as
// a refused dial or a lost connection, means for the request. Another attempt
// is allowed only if the verdict is not-run.
func (p *PostTracker) Failed(r comfreyverdict.Reason) comfreyverdict.Error {
	if p.sent > 0 || p.isOver {
		return comfreyverdict.MayHaveRun(r, "the request was sent and no answer came")
	}
	return comfreyverdict.NotRun(r, "no byte of the request was sent")
}
