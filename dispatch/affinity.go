package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/api"
)

const (
	// blockBytes is the length of a block of the prompt, about 64 tokens of text.
	blockBytes = 256
	// maxBlocks bounds the blocks of one prompt that are hashed.
	maxBlocks = 64
	// blockSaving is the prefill time that an endpoint saves for each block in
	// its prefix cache.
	blockSaving = 1500 * time.Microsecond

	affinityShards = 16
	// maxGenerationBlocks bounds the blocks in one generation of a shard; a shard
	// keeps two generations.
	maxGenerationBlocks = 2048
)

// PrefixHashes returns the hashes of the prefixes of a prompt, one for each of
// its first whole blocks, up to maxBlocks. Each hash covers all text up to the
// end of its block, and is salted with the customer.
func PrefixHashes(customer string, messages []api.Message) []uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(customer)
	var blocks []uint64
	remaining := blockBytes
	for _, m := range messages {
		for _, part := range [...]string{"\x00", m.Role, "\x00", m.Content} {
			for len(part) >= remaining {
				_, _ = h.WriteString(part[:remaining])
				part, remaining = part[remaining:], blockBytes
				if blocks = append(blocks, h.Sum64()); len(blocks) == maxBlocks {
					return blocks
				}
			}
			_, _ = h.WriteString(part)
			remaining -= len(part)
		}
	}
	return blocks
}

// Affinity records which endpoint last got each prompt prefix. It does no I/O,
// is safe for concurrent use, and is bounded: when the current generation of a
// shard is full, the previous one is dropped. Its result is a hint, as the
// endpoint may have evicted the prefix since.
type Affinity struct{ shards [affinityShards]affinityShard }

type affinityShard struct {
	mu       sync.Mutex
	current  map[uint64]string // block -> endpoint
	previous map[uint64]string
}

// NewAffinity returns an empty Affinity.
func NewAffinity() *Affinity {
	a := &Affinity{}
	for i := range a.shards {
		a.shards[i].current = make(map[uint64]string)
	}
	return a
}

// Lookup returns the endpoint of the longest known prefix and the length of that
// prefix in blocks, or "" and 0 if no prefix is known.
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

// Record records that endpoint got the prompt with these prefixes.
func (a *Affinity) Record(blocks []uint64, endpoint string) {
	for _, b := range blocks {
		s := &a.shards[b%affinityShards]
		s.mu.Lock()
		s.put(b, endpoint)
		s.mu.Unlock()
	}
}

func (s *affinityShard) get(block uint64) string {
	if e, ok := s.current[block]; ok {
		return e
	}
	return s.previous[block]
}

func (s *affinityShard) put(block uint64, endpoint string) {
	if len(s.current) >= maxGenerationBlocks {
		s.previous = s.current
		s.current = make(map[uint64]string, maxGenerationBlocks)
	}
	s.current[block] = endpoint
}
