package comfreyorder

import (
	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const invariantSentOnce comfreyinvariant.Name = "post-sent-once"

// PostTracker tracks the attempts of one non-idempotent request without a
// ticket. It allows another attempt only while it is proven that no earlier one
// runs or will run. The zero value is a request that was not sent. A
// PostTracker is not safe for concurrent use.
type PostTracker struct {
	attempt int
	sent    int
	isFinal bool
}

// NextAttempt starts the next attempt and returns its number, from 1. It
// reports false if the request must not be sent again.
func (p *PostTracker) NextAttempt() (int, bool) {
	if p.isFinal || p.sent > 0 {
		return 0, false
	}
	p.attempt++
	return p.attempt, true
}

// BeginSend must be called before the first byte of an attempt is written, and
// nothing may be written unless it reports true.
func (p *PostTracker) BeginSend(attempt int) bool {
	if p.isFinal || p.sent > 0 || attempt != p.attempt {
		return false
	}
	p.sent++
	comfreyinvariant.Check(p.sent == 1, invariantSentOnce, "attempt %d sends copy %d of the request", attempt, p.sent)
	return true
}

// Refused records a refusal that the peer sent in response to an attempt. A
// refusal of the latest attempt with VerdictNotRun allows another attempt,
// because the peer has made sure that a delayed duplicate does not run either.
// A refusal of an earlier attempt is ignored. After any other verdict no more
// attempts are allowed.
func (p *PostTracker) Refused(attempt int, e comfreyverdict.Error) {
	if attempt != p.attempt {
		return
	}
	if e.Verdict == comfreyverdict.VerdictNotRun {
		p.sent = 0
		return
	}
	p.isFinal = true
}

// Completed records that the complete response of the upstream was received. No
// more attempts are allowed.
func (p *PostTracker) Completed() {
	p.isFinal = true
}

// Failed returns the error for a request whose latest attempt ended without a
// response, such as by a refused dial or a lost connection. Another attempt is
// allowed only if its verdict is VerdictNotRun.
func (p *PostTracker) Failed(r comfreyverdict.Reason) comfreyverdict.Error {
	if p.sent > 0 || p.isFinal {
		return comfreyverdict.MayHaveRun(r, "the request was sent and no response was received")
	}
	return comfreyverdict.NotRun(r, "no byte of the request was sent")
}
