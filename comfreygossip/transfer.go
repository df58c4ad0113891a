package comfreygossip

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/prometheus/client_golang/prometheus"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

const (
	// largeItems is the size in bytes from which the items of an exchange are a
	// large transfer.
	largeItems = 64 << 10
	// maxTransfers is how many large transfers a gateway sends at a time. More of
	// them would share its link, and all be late. Each receiver becomes a source
	// for the others.
	maxTransfers = 2
	// receiverSilence is the time within which a receiver has to read progressBytes
	// of a response.
	receiverSilence = 1500 * time.Millisecond
	progressBytes   = 16 << 10
	// minCompressedValue is the size in bytes from which values are compressed.
	minCompressedValue = 4 << 10
	// maxValueSize bounds the size in bytes of a decompressed value.
	maxValueSize = 16 << 20
	// maxCachedValues is how many compressed values are kept. Few values are large.
	maxCachedValues = 8
)

// transferSlots limits the large transfers that are sent at a time.
type transferSlots chan struct{}

// slotKey is the context key of the slot that a request may take.
type slotKey struct{}

// slot is the right of one request to a large response.
type slot struct {
	isTaken bool
}

// handler makes requests release the slots that they have taken, once h has
// written the response, and counts the bytes of responses.
func (s transferSlots) handler(h http.Handler, sent prometheus.Counter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &slot{}
		p := &progressWriter{ResponseWriter: w, controller: http.NewResponseController(w), sent: sent}
		defer func() {
			p.clearDeadline()
			if t.isTaken {
				<-s
			}
		}()
		h.ServeHTTP(p, r.WithContext(context.WithValue(r.Context(), slotKey{}, t)))
	})
}

// progressWriter ends the connection of a receiver that reads nothing for
// receiverSilence, which would hold its slot.
type progressWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	sent       prometheus.Counter
}

// Write implements io.Writer.
func (w *progressWriter) Write(b []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(b, progressBytes) {
		w.setDeadline(time.Now().Add(receiverSilence))
		n, err := w.ResponseWriter.Write(part)
		sent += n
		w.sent.Add(float64(n))
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// clearDeadline ends the deadline, so that the connection can be reused.
func (w *progressWriter) clearDeadline() {
	w.setDeadline(time.Time{})
}

func (w *progressWriter) setDeadline(t time.Time) {
	// A connection that does not support deadlines is written to without one.
	_ = w.controller.SetWriteDeadline(t)
}

// take takes a slot for the request of a context and reports whether one was
// free.
func (s transferSlots) take(ctx context.Context) bool {
	t, ok := ctx.Value(slotKey{}).(*slot)
	if !ok {
		return true
	}
	select {
	case s <- struct{}{}:
		t.isTaken = true
		return true
	default:
		return false
	}
}

// codec encodes items for exchanges. It keeps the compressed form of values, since
// one value is sent to many gateways. It is safe for concurrent use.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder

	mu     sync.Mutex
	values map[string]compressedValue
}

// compressedValue is a value and its compressed form.
type compressedValue struct {
	value, compressed []byte
}

func newCodec() *codec {
	// The options are valid, so that there is no error.
	e, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	d, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueSize), zstd.WithDecoderLowmem(true))
	return &codec{encoder: e, decoder: d, values: map[string]compressedValue{}}
}

// encode returns items for an exchange, with large values compressed if the
// receiver can read that.
func (c *codec) encode(items []comfreystorecache.Item, acceptsZstd bool) []*comfreyproto.StoreItem {
	var l []*comfreyproto.StoreItem
	for _, x := range items {
		p := &comfreyproto.StoreItem{Key: x.Key, Revision: x.Revision, Deleted: x.IsDeleted}
		if acceptsZstd && len(x.Value) >= minCompressedValue {
			p.ZstdValue = c.compress(x.Key, x.Value)
		} else {
			p.Value = x.Value
		}
		l = append(l, p)
	}
	return l
}

// compress returns the compressed form of a key's value.
func (c *codec) compress(key string, value []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.values[key]; ok && bytes.Equal(v.value, value) {
		return v.compressed
	}
	b := c.encoder.EncodeAll(value, nil)
	c.keep(key, compressedValue{value, b})
	return b
}

// keep keeps the compressed form of a value. The mutex must be held.
func (c *codec) keep(key string, v compressedValue) {
	if _, ok := c.values[key]; !ok && len(c.values) >= maxCachedValues {
		for k := range maps.Keys(c.values) {
			delete(c.values, k)
			break
		}
	}
	c.values[key] = v
}

// decode returns the items of an exchange.
func (c *codec) decode(l []*comfreyproto.StoreItem) ([]comfreystorecache.Item, error) {
	var items []comfreystorecache.Item
	for _, p := range l {
		x := decodeItem(p)
		if len(p.ZstdValue) > 0 {
			v, err := c.decoder.DecodeAll(p.ZstdValue, nil)
			if err != nil {
				return nil, fmt.Errorf("comfreygossip: expected a compressed value of %q, got %d bytes: %w", p.Key, len(p.ZstdValue), err)
			}
			x.Value = v
			c.mu.Lock()
			c.keep(x.Key, compressedValue{v, p.ZstdValue})
			c.mu.Unlock()
		}
		items = append(items, x)
	}
	return items, nil
}

// smallItems returns the items that need not wait for a large transfer; none if they
// are one together.
func smallItems(items []comfreystorecache.Item) []comfreystorecache.Item {
	var l []comfreystorecache.Item
	for _, x := range items {
		if len(x.Value) < minCompressedValue {
			l = append(l, x)
		}
	}
	if itemsSize(l) > largeItems {
		return nil
	}
	return l
}

// itemsSize returns the size in bytes of the values of items.
func itemsSize(items []comfreystorecache.Item) uint64 {
	n := uint64(0)
	for _, x := range items {
		n += uint64(len(x.Value))
	}
	return n
}
