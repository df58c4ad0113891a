// Package comfreyverdict defines the error for a refused or failed request: the
// verdict, which says whether the request may have run, the reason for the
// refusal or failure, and when the caller may retry.
package comfreyverdict

import "fmt"

// Verdict says whether a request may have run at an upstream. The zero value is
// VerdictMayHaveRun, so that a verdict that was never set makes no claim.
type Verdict int

// The verdicts, with the numbers of the enum comfreyproto.Verdict.
const (
	// VerdictMayHaveRun means that it is unknown whether the request ran.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun means that the request did not run and cannot run later.
	VerdictNotRun
	// VerdictRan means that the request ran, completely or in part.
	VerdictRan
)

// String returns the kebab-case name of v. An out-of-range value is reported as
// "may-have-run", the verdict that makes no claim.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictRan:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Join returns the verdict on a request with two attempts, whose verdicts are v
// and o: the request ran if either attempt ran, and it did not run only if
// neither did.
func (v Verdict) Join(o Verdict) Verdict {
	if v == VerdictRan || o == VerdictRan {
		return VerdictRan
	}
	if v == VerdictNotRun && o == VerdictNotRun {
		return VerdictNotRun
	}
	return VerdictMayHaveRun
}

// ParseVerdict returns the verdict whose String is s, or an error if there is
// none.
func ParseVerdict(s string) (Verdict, error) {
	for _, v := range []Verdict{VerdictMayHaveRun, VerdictNotRun, VerdictRan} {
		if v.String() == s {
			return v, nil
		}
	}
	return VerdictMayHaveRun, fmt.Errorf("comfreyverdict: unknown verdict %q, want may-have-run, not-run or ran", s)
}
