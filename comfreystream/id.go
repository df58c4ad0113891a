// Package comfreystream carries the frames of a generation so that each
// reaches its caller once, in order and from one generation only: identifiers,
// the sidecar's replay window, the receiver's sequencer, and the count of
// accepted requests and their outcomes.
package comfreystream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxHostBytes bounds the host in a generation id.
const maxHostBytes = 255

// ErrMalformedID reports text that is not a generation or event id.
var ErrMalformedID = errors.New("comfreystream: malformed id")

// GenerationID identifies one generation in the whole fleet. The zero value
// identifies none. It is comparable.
type GenerationID struct {
	// Host is the host of the sidecar that owns the generation.
	Host string
	// Incarnation is the life of that sidecar.
	Incarnation uint64
	// Counter numbers the generations of one incarnation.
	Counter uint64
}

// String returns the form that ParseGenerationID reads.
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

// ParseGenerationID reads the canonical text form of a generation id. The
// error wraps ErrMalformedID.
func ParseGenerationID(s string) (GenerationID, error) {
	rest, c, ok := cutLast(s, ':')
	if !ok {
		return GenerationID{}, malformed(s)
	}
	h, i, ok := cutLast(rest, ':')
	if !ok || !validHost(h) {
		return GenerationID{}, malformed(s)
	}
	g := GenerationID{Host: h}
	if !parseNumber(i, &g.Incarnation) || !parseNumber(c, &g.Counter) {
		return GenerationID{}, malformed(s)
	}
	return g, nil
}

// EventID identifies one frame of one generation. Its text form is the id of
// a server-sent event. The zero value identifies none.
type EventID struct {
	// Generation is the generation that the frame belongs to.
	Generation GenerationID
	// Seq is the sequence number of the frame, from 1.
	Seq uint64
}

// String returns the form that ParseEventID reads.
func (e EventID) String() string {
	return string(e.AppendTo(nil))
}

// AppendTo appends the text form of e to b.
func (e EventID) AppendTo(b []byte) []byte {
	b = e.Generation.AppendTo(b)
	b = append(b, '/')
	return strconv.AppendUint(b, e.Seq, 10)
}

// ParseEventID reads the canonical text form of an event id. The error wraps
// ErrMalformedID.
func ParseEventID(s string) (EventID, error) {
	g, n, ok := cutLast(s, '/')
	if !ok {
		return EventID{}, malformed(s)
	}
	id, err := ParseGenerationID(g)
	if err != nil {
		return EventID{}, malformed(s)
	}
	e := EventID{Generation: id}
	if !parseNumber(n, &e.Seq) {
		return EventID{}, malformed(s)
	}
	return e, nil
}

func malformed(s string) error {
	return fmt.Errorf("%w: %.80q", ErrMalformedID, s)
}

func cutLast(s string, sep byte) (before, after string, found bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// validHost reports whether h is printable ASCII without the separators that
// would make an event id ambiguous or break a header.
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

// parseNumber reads a decimal number in its only canonical form.
func parseNumber(s string, n *uint64) bool {
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || strconv.FormatUint(v, 10) != s {
		return false
	}
	*n = v
	return true
}
