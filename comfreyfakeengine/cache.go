package comfreyfakeengine

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyengine"
)

// Sizes of the prefix cache's blocks.
const (
	bytesPerToken  = 4
	tokensPerBlock = 16
	bytesPerBlock  = bytesPerToken * tokensPerBlock
)

// prefixCache remembers the latest prompt blocks. A block's hash covers all
// blocks before it, so that equal hashes mean equal prefixes.
type prefixCache struct {
	blocks   int
	order    *list.List
	elements map[uint64]*list.Element
	// observe receives every change.
	observe func(kind comfreyengine.CacheEventKind, block uint64)
}

func newPrefixCache(tokens int, observe func(kind comfreyengine.CacheEventKind, block uint64)) *prefixCache {
	return &prefixCache{
		blocks:   max(1, tokens/tokensPerBlock),
		order:    list.New(),
		elements: make(map[uint64]*list.Element),
		observe:  observe,
	}
}

// hashBlocks returns the hash of each full block of the prompt.
func hashBlocks(prompt []byte) []uint64 {
	var h uint64
	var s []uint64
	d := xxhash.New()
	for len(prompt) >= bytesPerBlock {
		d.Reset()
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, h))
		_, _ = d.Write(prompt[:bytesPerBlock])
		h = d.Sum64()
		s = append(s, h)
		prompt = prompt[bytesPerBlock:]
	}
	return s
}

// use returns how many leading tokens are cached, and stores all blocks.
func (c *prefixCache) use(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.elements[blocks[hits]] != nil {
		hits++
	}
	for _, b := range blocks {
		c.put(b)
	}
	return hits * tokensPerBlock
}

// put stores a block or marks it as the latest one.
func (c *prefixCache) put(b uint64) {
	if e := c.elements[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.elements[b] = c.order.PushFront(b)
	c.observe(comfreyengine.CacheEventStored, b)
	if c.order.Len() <= c.blocks {
		return
	}
	e := c.order.Back()
	old := c.order.Remove(e).(uint64)
	delete(c.elements, old)
	c.observe(comfreyengine.CacheEventRemoved, old)
}
