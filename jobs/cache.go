package jobs

import (
	"container/list"
	"context"
	"sync"

	"dandelionrelay/platform"
)

// stored is a record as it lies in the log, split once.
type stored struct {
	header *header
	blob   []byte
	starts []int // of each body in blob
	bytes  int
}

// body returns the body with that index.
func (s *stored) body(i int) ([]byte, error) {
	if i < 0 || i+1 >= len(s.starts) || s.starts[i+1] > len(s.blob) {
		return nil, BadRecord.New("no body %d", i)
	}
	return s.blob[s.starts[i]:s.starts[i+1]], nil
}

func newStored(data []byte) (*stored, error) {
	h, blob, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	s := &stored{header: h, blob: blob, starts: []int{0}, bytes: len(data)}
	at := 0
	if h.Chunk != nil {
		for _, it := range h.Chunk.Items {
			at += it.Size
			s.starts = append(s.starts, at)
		}
		return s, nil
	}
	for i := range h.Facts {
		at += h.Facts[i].Size
		s.starts = append(s.starts, at)
	}
	return s, nil
}

// cacheKey is the place of a record.
type cacheKey struct {
	stream string
	offset platform.Offset
}

// cache reads records of the log and keeps the ones used last, up to
// CacheBytes.
type cache struct {
	log   platform.Log
	mu    sync.Mutex
	bytes int
	order *list.List // of cacheEntry, the latest used first
	byKey map[cacheKey]*list.Element
}

type cacheEntry struct {
	key    cacheKey
	record *stored
}

func newCache(log platform.Log) *cache {
	return &cache{log: log, order: list.New(), byKey: make(map[cacheKey]*list.Element)}
}

// get returns the record at an offset.
func (c *cache) get(ctx context.Context, stream string, offset platform.Offset) (*stored, error) {
	key := cacheKey{stream, offset}
	if s := c.lookup(key); s != nil {
		return s, nil
	}
	records, err := c.log.Read(ctx, stream, offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Offset != offset {
		return nil, BadRecord.New("stream %s has no offset %d", stream, offset)
	}
	s, err := newStored(records[0].Data)
	if err != nil {
		return nil, err
	}
	c.add(key, s)
	return s, nil
}

func (c *cache) lookup(key cacheKey) *stored {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byKey[key]
	if !ok {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(cacheEntry).record
}

func (c *cache) add(key cacheKey, s *stored) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byKey[key]; ok {
		return
	}
	c.byKey[key] = c.order.PushFront(cacheEntry{key, s})
	c.bytes += s.bytes
	for c.bytes > CacheBytes && c.order.Len() > 1 {
		last := c.order.Back()
		entry := c.order.Remove(last).(cacheEntry)
		delete(c.byKey, entry.key)
		c.bytes -= entry.record.bytes
	}
}
