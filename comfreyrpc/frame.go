package comfreyrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

// MaxFrameBytes is the size of the largest frame that a reader accepts. A larger
// one is an error, so that a corrupt length cannot cause an unbounded allocation.
const MaxFrameBytes = 1 << 20

// ErrFrameTooLarge is returned for a frame of more than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("comfreyrpc: frame is too large")

// FrameWriter writes length-delimited frames. It reuses one buffer and is not
// safe for concurrent use.
type FrameWriter struct {
	w      io.Writer
	buffer []byte
}

// NewFrameWriter returns a writer of frames to w.
func NewFrameWriter(w io.Writer) *FrameWriter {
	return &FrameWriter{w: w}
}

// Write encodes frames and writes them with a single write to the underlying
// writer.
func (w *FrameWriter) Write(frames ...*comfreyproto.Frame) error {
	w.buffer = w.buffer[:0]
	for _, f := range frames {
		w.buffer = protowire.AppendVarint(w.buffer, uint64(proto.Size(f)))
		b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buffer, f)
		if err != nil {
			return fmt.Errorf("comfreyrpc: cannot encode frame: %w", err)
		}
		w.buffer = b
	}
	_, err := w.w.Write(w.buffer)
	return err
}

// FrameReader reads length-delimited frames. It is not safe for concurrent
// use.
type FrameReader struct {
	r      *bufio.Reader
	buffer []byte
}

// frameReaderBytes is the size of a stream's read buffer.
const frameReaderBytes = 4096

// NewFrameReader returns a reader of frames from r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, frameReaderBytes)}
}

// Read decodes the next frame into f, whose data is valid until the next call.
// It returns io.EOF only between frames; a stream that ends within a frame
// yields io.ErrUnexpectedEOF.
func (r *FrameReader) Read(f *comfreyproto.Frame) error {
	n, err := binary.ReadUvarint(r.r)
	if err != nil {
		return err
	}
	if n > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	b, err := r.next(int(n))
	if err != nil {
		return noEOF(err)
	}
	if err := decodeFrame(b, f); err != nil {
		return fmt.Errorf("comfreyrpc: cannot decode frame: %w", err)
	}
	return nil
}

// next returns the next n bytes, in place if the read buffer can hold them.
func (r *FrameReader) next(n int) ([]byte, error) {
	if n <= r.r.Size() {
		b, err := r.r.Peek(n)
		if err != nil {
			return nil, err
		}
		_, err = r.r.Discard(n)
		return b, err
	}
	if cap(r.buffer) < n {
		r.buffer = make([]byte, n)
	}
	b := r.buffer[:n]
	_, err := io.ReadFull(r.r, b)
	return b, err
}

// Buffered reports whether the next frame is completely in the read buffer, so
// that Read does not block. It reports false for a frame that is larger than the
// read buffer.
func (r *FrameReader) Buffered() bool {
	b, _ := r.r.Peek(min(r.r.Buffered(), binary.MaxVarintLen64))
	n, size := binary.Uvarint(b)
	return size > 0 && n <= uint64(r.r.Buffered()-size)
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteEncoded writes frames that AppendFrame encoded, with a single write to the
// underlying writer.
func (w *FrameWriter) WriteEncoded(frames ...[]byte) error {
	w.buffer = w.buffer[:0]
	for _, f := range frames {
		w.buffer = protowire.AppendVarint(w.buffer, uint64(len(f)))
		w.buffer = append(w.buffer, f...)
	}
	_, err := w.w.Write(w.buffer)
	return err
}

// AppendFrame appends the encoding of f, without its length prefix, to b.
func AppendFrame(b []byte, f *comfreyproto.Frame) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		panic("comfreyrpc: cannot encode frame: " + err.Error())
	}
	return b
}
