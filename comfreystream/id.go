// Package comfreystream implements the delivery of a generation's frames to its
// caller: each frame once, in order and from one generation only. It contains
// the generation and event ids, the sidecar's replay window, the receiver's
// sequencer, and the tracker of accepted requests and their outcomes.
package comfreystream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxHostBytes limits the host in a generation id.
const maxHostBytes = 255

// ErrMalformedID means that a text is not a generation or event id.
var ErrMalformedID = errors.New("comfreystream: malformed id")

// GenerationID identifies a generation, unique in the fleet. The zero value
// identifies none. It is comparable.
type GenerationID struct {
	// Host is the host of the sidecar that owns the generation.
	Host string
	// Incarnation is the incarnation of that sidecar; it distinguishes the process
	// from earlier ones on the host.
	Incarnation uint64
	// Counter numbers the generations of one incarnation.
	Counter uint64
}

// String returns the text form, host:incarnation:counter, which
// ParseGenerationID parses.
func (g GenerationID) String() string {
	return string(g.AppendTo(nil))
}

// AppendTo appends the text form of g to b.
func (g GenerationID) AppendTo(b []byte) []byte {
	b = append(b, g.Host...)
	b = append(b, ':')
	b = strconv.AppendUint(b, g.Incarnation, 10)
	b = append(b, ':')
	return strconv.AppendUint(b, g.Counter, 10)
}

// ParseGenerationID parses the canonical text form of a generation id. Its
// errors wrap ErrMalformedID.
func ParseGenerationID(s string) (GenerationID, error) {
	rest, c, ok := cutLast(s, ':')
	if !ok {
		return GenerationID{}, malformedError(s)
	}
	h, i, ok := cutLast(rest, ':')
	if !ok || !validHost(h) {
		return GenerationID{}, malformedError(s)
	}
	g := GenerationID{Host: h}
	if !parseNumber(i, &g.Incarnation) || !parseNumber(c, &g.Counter) {
		return GenerationID{}, malformedError(s)
	}
	return g, nil
}

// EventID identifies a frame of a generation. Its text form is the id of a
// server-sent event. The zero value identifies none.
type EventID struct {
	// Generation is the generation that the frame belongs to.
	Generation GenerationID
	// Seq is the sequence number of the frame, from 1.
	Seq uint64
}

// String returns the text form, host:incarnation:counter/seq, which
// ParseEventID parses.
func (e EventID) String() string {
	return string(e.AppendTo(nil))
}

// AppendTo appends the text form of e to b.
func (e EventID) AppendTo(b []byte) []byte {
	b = e.Generation.AppendTo(b)
	b = append(b, '/')
	return strconv.AppendUint(b, e.Seq, 10)
}

// ParseEventID parses the canonical text form of an event id. Its errors wrap
// ErrMalformedID.
func ParseEventID(s string) (EventID, error) {
	g, n, ok := cutLast(s, '/')
	if !ok {
		return EventID{}, malformedError(s)
	}
	id, err := ParseGenerationID(g)
	if err != nil {
		return EventID{}, malformedError(s)
	}
	e := EventID{Generation: id}
	if !parseNumber(n, &e.Seq) {
		return EventID{}, malformedError(s)
	}
	return e, nil
}

func malformedError(s string) error {
	return fmt.Errorf("%w: %.80q", ErrMalformedID, s)
}

func cutLast(s string, sep byte) (before, after string, found bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// validHost reports whether h is a host that keeps an event id unambiguous and
// safe in an HTTP header: printable ASCII without spaces or slashes. Colons are
// allowed, because ids are split at their last separators.
func validHost(h string) bool {
	if h == "" || len(h) > maxHostBytes {
		return false
	}
	for i := range len(h) {
		if h[i] <= ' ' || h[i] > '~' || h[i] == '/' {
			return false
		}
	}
	return true
}

// parseNumber parses a decimal number in its canonical form, without sign or
// leading zeros.
func parseNumber(s string, n *uint64) bool {
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || strconv.FormatUint(v, 10) != s {
		return false
	}
	*n = v
	return true
}
