package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// TokenBytes is the length of a token: the stand-in cuts text evenly.
const TokenBytes = 4

const blockBytes = BlockTokens * TokenBytes

// prefixCache remembers which prefixes of prompts are computed, in blocks, and
// forgets the least recently used ones.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List // of uint64, the most recently used first
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// lookup returns the number of tokens at the start of text that are cached.
func (c *prefixCache) lookup(salt string, text []byte) int {
	n := 0
	chain(salt, text, func(key uint64) bool {
		el, ok := c.blocks[key]
		if !ok {
			return false
		}
		c.recent.MoveToFront(el)
		n += BlockTokens
		return true
	})
	return n
}

// insert remembers the whole blocks of text.
func (c *prefixCache) insert(salt string, text []byte) {
	chain(salt, text, func(key uint64) bool {
		if el, ok := c.blocks[key]; ok {
			c.recent.MoveToFront(el)
			return true
		}
		c.blocks[key] = c.recent.PushFront(key)
		if len(c.blocks) > c.limit {
			oldest := c.recent.Back()
			c.recent.Remove(oldest)
			delete(c.blocks, oldest.Value.(uint64))
		}
		return true
	})
}

// chain calls f with the key of each whole block of text, which depends on all
// blocks before it and on salt, until f returns false.
func chain(salt string, text []byte, f func(key uint64) bool) {
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString("\x00")
	for len(text) >= blockBytes {
		_, _ = d.Write(text[:blockBytes])
		text = text[blockBytes:]
		if !f(d.Sum64()) {
			return
		}
	}
}
