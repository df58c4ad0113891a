package comfreyforward

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// A line fills the read buffer exactly, so that only its line break is left for
// the next read, which looks like the blank line at the end of an event.
func TestLineThatFillsTheBufferDoesNotEndTheEvent(t *testing.T) {
	first := "data: " + strings.Repeat("x", eventBufferSize-len("data: ")) + "\nid: 7\n\n"
	r := newEventReader(strings.NewReader(first+"id: 8\n\n"), "")
	b, err := r.next()
	if err != nil || string(b) != first || r.id != "7" {
		t.Fatalf("got %d bytes, id %q, %v; want %d", len(b), r.id, err, len(first))
	}
	if b, err = r.next(); err != nil || string(b) != "id: 8\n\n" {
		t.Fatalf("got %q, %v", b, err)
	}
	if _, err = r.next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
}

// TestPartOfNextEventDoesNotHoldEventBack guards against an event that is sent to its
// caller only once the replica has completed the next one, of which a part came with it.
func TestPartOfNextEventDoesNotHoldEventBack(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "id: 8\n": false, "id: 8\ndata: tok": false, "id: 8\n\n": true, "id: 8\r\n\r\n": true, "id: 8\n\nid: 9\n": true,
	} {
		r := newEventReader(strings.NewReader("id: 7\n\n"+rest), "")
		if _, err := r.next(); err != nil {
			t.Fatal(err)
		}
		if got := r.hasCompleteEvent(); got != want {
			t.Errorf("with %q buffered: got %t, want %t", rest, got, want)
		}
	}
}

// TestEventWithoutIDKeepsTheLastOne guards against a stream that is resumed from its
// beginning because an event without an id was the last one before a move.
func TestEventWithoutIDKeepsTheLastOne(t *testing.T) {
	r := newEventReader(strings.NewReader("data: x\n\nid: 8\n\ndata: y\n\nid:\n\n"), "7")
	for _, want := range []string{"7", "8", "8", ""} {
		if _, err := r.next(); err != nil || r.id != want {
			t.Errorf("got id %q, %v, want %q", r.id, err, want)
		}
	}
}
