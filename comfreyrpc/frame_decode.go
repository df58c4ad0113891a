package comfreyrpc

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"comfreyridge.example/comfreyridge/comfreyproto"
)

// Field numbers of the scalar fields of the Frame message.
const (
	fieldKind         protowire.Number = 1
	fieldIncarnation  protowire.Number = 2
	fieldCounter      protowire.Number = 3
	fieldSeq          protowire.Number = 4
	fieldData         protowire.Number = 5
	fieldTokens       protowire.Number = 6
	fieldPromptTokens protowire.Number = 9
)

// decodeFrame decodes b into f. For a frame without nested messages, the data
// aliases b, which saves an allocation per token. All other frames are decoded by
// the protobuf library.
func decodeFrame(b []byte, f *comfreyproto.Frame) error {
	f.Reset()
	if decodeScalars(b, f) {
		return nil
	}
	return proto.Unmarshal(b, f)
}

// decodeScalars decodes a frame that has scalar fields only. It reports false if b
// holds anything else or is malformed.
func decodeScalars(b []byte, f *comfreyproto.Frame) bool {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return false
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			n = decodeVarint(number, b, f)
		case protowire.Fixed64Type:
			n = decodeFixed64(number, b, f)
		case protowire.BytesType:
			n = decodeBytes(number, b, f)
		default:
			return false
		}
		if n < 0 {
			return false
		}
		b = b[n:]
	}
	return true
}

func decodeVarint(number protowire.Number, b []byte, f *comfreyproto.Frame) int {
	v, n := protowire.ConsumeVarint(b)
	switch number {
	case fieldKind:
		f.Kind = comfreyproto.FrameKind(v)
	case fieldCounter:
		f.Counter = v
	case fieldSeq:
		f.Seq = v
	case fieldTokens:
		f.Tokens = uint32(v)
	case fieldPromptTokens:
		f.PromptTokens = uint32(v)
	default:
		return -1
	}
	return n
}

func decodeFixed64(number protowire.Number, b []byte, f *comfreyproto.Frame) int {
	v, n := protowire.ConsumeFixed64(b)
	if number != fieldIncarnation {
		return -1
	}
	f.Incarnation = v
	return n
}

func decodeBytes(number protowire.Number, b []byte, f *comfreyproto.Frame) int {
	v, n := protowire.ConsumeBytes(b)
	if number != fieldData {
		return -1
	}
	f.Data = v
	return n
}
