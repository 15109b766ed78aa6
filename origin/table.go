package origin

import (
	"hash/maphash"
	"sync"
	"time"

	"dandelionrelay/boottime"
)

// Bounds of a Table.
const (
	// memory is the time for which the origin of a stream, and a version that is no longer
	// listed, are kept: longer than callers wait for a stream.
	memory = 2 * time.Minute
	// MaxIDBytes is the length of an attempt's ID above which no origin is kept.
	MaxIDBytes = 128
	// shardCount is the number of parts of a Table, each under its own lock.
	shardCount = 16
	// maxShardRecords bounds the number of origins kept in one part.
	maxShardRecords = 2048
)

// Table holds the origins of streams by the ID of the attempt that brought the first event.
// It is safe for concurrent use.
type Table struct {
	clock  boottime.Clock
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard is a part of a Table.
type shard struct {
	mu      sync.Mutex
	records map[string]record
	queue   []queued // the records in the order of their expiry
}

// record is the origin of one stream.
type record struct {
	origin      Origin
	conflicting bool // two origins were recorded for the ID
}

// queued is a record in the queue of a shard.
type queued struct {
	id        string
	expiresAt time.Duration
}

// NewTable returns an empty Table.
func NewTable(clock boottime.Clock) *Table {
	t := &Table{clock: clock, seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].records = make(map[string]record)
	}
	return t
}

func (t *Table) shard(id string) *shard {
	return &t.shards[maphash.String(t.seed, id)%shardCount]
}

// Record records the origin of the stream of an attempt. An attempt that is recorded with
// two origins has none that can be relied on. IDs that are empty or longer than MaxIDBytes
// are ignored.
func (t *Table) Record(id string, o Origin) {
	if id == "" || len(id) > MaxIDBytes {
		return
	}
	s, now := t.shard(id), t.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	if known, ok := s.records[id]; ok {
		known.conflicting = known.conflicting || known.origin != o
		s.records[id] = known
		return
	}
	s.records[id] = record{origin: o}
	s.queue = append(s.queue, queued{id: id, expiresAt: now + memory})
}

// prune drops the records that have expired, and the oldest one if there is no room for
// another. The caller holds the lock.
func (s *shard) prune(now time.Duration) {
	drop := 0
	for drop < len(s.queue) && (now >= s.queue[drop].expiresAt || len(s.queue)-drop >= maxShardRecords) {
		delete(s.records, s.queue[drop].id)
		drop++
	}
	s.queue = s.queue[drop:]
}

// Find returns the origin of the stream of an attempt; false if it is not known or two
// origins were recorded.
func (t *Table) Find(id string) (Origin, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(t.clock())
	r, ok := s.records[id]
	if !ok || r.conflicting {
		return Origin{}, false
	}
	return r.origin, true
}
