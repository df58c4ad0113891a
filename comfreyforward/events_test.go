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
	r := newEventReader(strings.NewReader(first + "id: 8\n\n"))
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
