package comfreyforward

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestLineThatFillsTheBufferDoesNotEndItsEvent reads a line whose end alone is
// left after a whole buffer, which looks like a blank line.
func TestLineThatFillsTheBufferDoesNotEndItsEvent(t *testing.T) {
	first := "data: " + strings.Repeat("x", eventBuffer-len("data: ")) + "\nid: 7\n\n"
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
