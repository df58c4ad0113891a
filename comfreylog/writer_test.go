package comfreylog

import (
	"bytes"
	"strings"
	"testing"
)

func TestDroppedLinesAreCountedAndReported(t *testing.T) {
	var b bytes.Buffer
	w := New(Config{Out: &b, BytesPerSecond: 10})
	for range 5 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write returned %d, %v", n, err)
		}
	}
	w.refill()
	w.flush(nil)
	if got := b.String(); !strings.HasSuffix(got, "lines=3\n") || strings.Count(got, "\n") != 3 {
		t.Errorf("got %q, want two lines and a report of three dropped", got)
	}
}
