package comfreyrpc

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

// FuzzDecodeFrame compares decodeFrame with the protobuf library's decoder.
func FuzzDecodeFrame(f *testing.F) {
	for _, x := range []*comfreyproto.Frame{
		{},
		{Kind: comfreyproto.FrameKind_FRAME_KIND_TOKENS, Incarnation: 1 << 60, Counter: 2, Seq: 300, Data: []byte("data"), Tokens: 1, PromptTokens: 7},
		{Kind: comfreyproto.FrameKind_FRAME_KIND_END, Seq: 3, Load: &comfreyproto.Load{Running: 1}},
		{Kind: comfreyproto.FrameKind_FRAME_KIND_FAILED, Outcome: &comfreyproto.Outcome{Reason: "leaving"}, Data: []byte("x")},
		{Crashes: []*comfreyproto.CrashRecord{{Host: "h"}}},
	} {
		f.Add(AppendFrame(nil, x))
	}
	f.Add([]byte{0x08, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x30, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x2a, 0x00})
	f.Add([]byte{0x2a, 0x05, 'a'})
	f.Add([]byte{0x0d, 1, 2, 3, 4, 0x08, 0x03})
	f.Add([]byte{0x7a, 0x00, 0x08, 0x03})
	f.Add([]byte{0x2a, 0x01, 'a', 0x2a, 0x01, 'b'})
	f.Fuzz(func(t *testing.T, b []byte) {
		got := &comfreyproto.Frame{Seq: 99, Data: []byte("old"), Load: &comfreyproto.Load{}}
		want := &comfreyproto.Frame{}
		gotErr, wantErr := decodeFrame(b, got), proto.Unmarshal(b, want)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("%x: got %v, want %v", b, gotErr, wantErr)
		}
		if wantErr == nil && !proto.Equal(got, want) {
			t.Fatalf("%x: got %v, want %v", b, got, want)
		}
	})
}

func TestBufferedReportsCompleteFramesOnly(t *testing.T) {
	var stream bytes.Buffer
	w := NewFrameWriter(&stream)
	small, large := &comfreyproto.Frame{Seq: 1, Data: []byte("a")}, &comfreyproto.Frame{Seq: 2, Data: make([]byte, 3*frameReaderBytes)}
	if err := w.Write(small, small, large); err != nil {
		t.Fatal(err)
	}
	r := NewFrameReader(&stream)
	for i, want := range []bool{true, false, false} {
		var f comfreyproto.Frame
		if err := r.Read(&f); err != nil {
			t.Fatal(err)
		}
		if i == 2 && len(f.Data) != len(large.Data) {
			t.Errorf("the large frame has %d bytes", len(f.Data))
		}
		if r.Buffered() != want {
			t.Errorf("after frame %d: Buffered is %t", i, !want)
		}
	}
}
