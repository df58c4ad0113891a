package comfreyengine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// bufferBytes is the size of the read buffer of one stream.
const bufferBytes = 4096

// errLongLine is returned for a line that exceeds the limit.
var errLongLine = errors.New("comfreyengine: a line of the stream exceeds the maximum length")

// lineReader reads lines without allocating memory for those that fit its
// buffer.
type lineReader struct {
	reader *bufio.Reader
	long   []byte
	limit  int
}

func newLineReader(r io.Reader, limit int) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, bufferBytes), limit: limit}
}

// next returns the next line without its line ending. The line is valid until
// the next call. A line that is truncated by the end of input is an error.
func (l *lineReader) next() ([]byte, error) {
	b, err := l.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		b, err = l.readLong(b)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	b = b[:len(b)-1]
	return bytes.TrimSuffix(b, []byte("\r")), nil
}

// readLong reads the rest of a line that starts with b and does not fit the
// buffer.
func (l *lineReader) readLong(b []byte) ([]byte, error) {
	l.long = append(l.long[:0], b...)
	for {
		b, err := l.reader.ReadSlice('\n')
		if len(l.long)+len(b) > l.limit {
			return nil, errLongLine
		}
		l.long = append(l.long, b...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return l.long, err
		}
	}
}
