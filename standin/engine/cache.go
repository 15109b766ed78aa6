package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// TokenBytes is the length of a token: the stand-in splits text into tokens of equal
// length.
const TokenBytes = 4

const blockBytes = BlockTokens * TokenBytes

// prefixCache is the set of computed prompt prefixes, in blocks of BlockTokens
// tokens. It evicts the least recently used blocks.
type prefixCache struct {
	limit  int                      // maximum number of blocks
	blocks map[uint64]*list.Element // by key, see forEachBlock
	recent *list.List               // keys of blocks, the most recently used first
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// lookup returns the number of tokens at the start of text that are cached.
func (c *prefixCache) lookup(salt string, text []byte) int {
	n := 0
	forEachBlock(salt, text, func(key uint64) bool {
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

// insert adds the complete blocks of text.
func (c *prefixCache) insert(salt string, text []byte) {
	forEachBlock(salt, text, func(key uint64) bool {
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

// forEachBlock calls f with the key of each complete block of text until f returns
// false. The key is a hash of salt, the block and all blocks before it.
func forEachBlock(salt string, text []byte, f func(key uint64) bool) {
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
