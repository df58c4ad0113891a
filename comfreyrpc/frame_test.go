package comfreyrpc

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

func TestFrameRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w := NewFrameWriter(&b)
	err := w.Write(
		&comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_TOKENS, Seq: 1, Data: []byte("a")},
		&comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_END, Seq: 2, Tokens: 1},
	)
	if err != nil {
		t.Fatal(err)
	}
	encoded := b.Bytes()
	r := NewFrameReader(bytes.NewReader(encoded))
	var f comfreyproto.Frame
	for seq := uint64(1); seq <= 2; seq++ {
		if err := r.Read(&f); err != nil || f.Seq != seq {
			t.Fatalf("frame %d: got %v, %v", seq, f.Seq, err)
		}
	}
	if err := r.Read(&f); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last frame: got %v, want io.EOF", err)
	}
	r = NewFrameReader(bytes.NewReader(encoded[:len(encoded)-1]))
	_ = r.Read(&f)
	if err := r.Read(&f); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("truncated frame: got %v, want io.ErrUnexpectedEOF", err)
	}
}

func TestFrameTooLarge(t *testing.T) {
	r := NewFrameReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}))
	var f comfreyproto.Frame
	if err := r.Read(&f); !errors.Is(err, ErrFrameTooLarge) {
		t.Fatalf("got %v, want ErrFrameTooLarge", err)
	}
}

func FuzzFrameReader(f *testing.F) {
	var b bytes.Buffer
	if err := NewFrameWriter(&b).Write(&comfreyproto.Frame{Seq: 7, Data: []byte("token")}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{})
	f.Add([]byte{0x80})
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewFrameReader(bytes.NewReader(data))
		var g comfreyproto.Frame
		for range len(data) + 1 {
			if err := r.Read(&g); err != nil {
				return
			}
		}
		t.Fatal("the reader returned more frames than bytes")
	})
}

func BenchmarkFrameRoundTrip(b *testing.B) {
	var buf bytes.Buffer
	w := NewFrameWriter(&buf)
	r := NewFrameReader(&buf)
	f := &comfreyproto.Frame{Kind: comfreyproto.FrameKind_FRAME_KIND_TOKENS, Incarnation: 1, Counter: 2, Seq: 3, Data: make([]byte, 150), Tokens: 1}
	var g comfreyproto.Frame
	b.ReportAllocs()
	for b.Loop() {
		if err := w.Write(f); err != nil {
			b.Fatal(err)
		}
		if err := r.Read(&g); err != nil {
			b.Fatal(err)
		}
	}
}
