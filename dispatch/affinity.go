package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/api"
)

const (
	// blockBytes is the length of a prompt block, about 64 tokens of text.
	blockBytes = 256
	// maxBlocks bounds the blocks of one prompt that are looked at.
	maxBlocks = 64
	// blockSaving is the time that an endpoint saves on a block it holds.
	blockSaving = 1500 * time.Microsecond

	affinityShards = 16
	// maxShardBlocks bounds the blocks remembered in one generation of a
	// shard; two generations are kept.
	maxShardBlocks = 2048
)

// PrefixHashes identifies the prefixes of a prompt, in blocks: each number stands
// for all text up to the end of its block, salted by the customer.
func PrefixHashes(customer string, messages []api.Message) []uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(customer)
	var blocks []uint64
	room := blockBytes
	for _, m := range messages {
		for _, part := range [...]string{"\x00", m.Role, "\x00", m.Content} {
			for len(part) >= room {
				_, _ = h.WriteString(part[:room])
				part, room = part[room:], blockBytes
				if blocks = append(blocks, h.Sum64()); len(blocks) == maxBlocks {
					return blocks
				}
			}
			_, _ = h.WriteString(part)
			room -= len(part)
		}
	}
	return blocks
}

// Affinity remembers which endpoint last got each prompt prefix. It is passive
// and bounded: what was not used for long is forgotten. Its word is a hint, as
// the endpoint may have dropped the prefix since.
type Affinity struct{ shards [affinityShards]affinityShard }

type affinityShard struct {
	mu    sync.Mutex
	young map[uint64]string // block -> endpoint
	old   map[uint64]string
}

// NewAffinity returns an empty Affinity.
func NewAffinity() *Affinity {
	a := &Affinity{}
	for i := range a.shards {
		a.shards[i].young = make(map[uint64]string)
	}
	return a
}

// Lookup returns the endpoint of the longest known prefix and the number of
// its blocks.
func (a *Affinity) Lookup(blocks []uint64) (endpoint string, depth int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		s := &a.shards[blocks[i]%affinityShards]
		s.mu.Lock()
		endpoint = s.get(blocks[i])
		s.mu.Unlock()
		if endpoint != "" {
			return endpoint, i + 1
		}
	}
	return "", 0
}

// Record records that endpoint got a prompt.
func (a *Affinity) Record(blocks []uint64, endpoint string) {
	for _, b := range blocks {
		s := &a.shards[b%affinityShards]
		s.mu.Lock()
		s.put(b, endpoint)
		s.mu.Unlock()
	}
}

func (s *affinityShard) get(block uint64) string {
	if e, ok := s.young[block]; ok {
		return e
	}
	return s.old[block]
}

func (s *affinityShard) put(block uint64, endpoint string) {
	if len(s.young) >= maxShardBlocks {
		s.old = s.young
		s.young = make(map[uint64]string, maxShardBlocks)
	}
	s.young[block] = endpoint
}
