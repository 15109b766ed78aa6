package jobs

import (
	"context"
	"slices"

	"dandelionrelay/infra"
	"dandelionrelay/lru"
)

// storedRecord is a decoded record of the log.
type storedRecord struct {
	header     *header
	bodies     []byte
	bodyStarts []int // offset of each body in bodies, and the end of the last one
	bytes      int   // size of the encoded record
}

// body returns the body with index i.
func (s *storedRecord) body(i int) ([]byte, error) {
	if i < 0 || i+1 >= len(s.bodyStarts) || s.bodyStarts[i+1] > len(s.bodies) {
		return nil, BadRecord.New("no body %d", i)
	}
	return s.bodies[s.bodyStarts[i]:s.bodyStarts[i+1]], nil
}

func newStoredRecord(data []byte) (*storedRecord, error) {
	h, bodies, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	s := &storedRecord{header: h, bodies: bodies, bodyStarts: []int{0}, bytes: len(data)}
	at := 0
	if h.Chunk != nil {
		for _, it := range h.Chunk.Items {
			at += it.Size
			s.bodyStarts = append(s.bodyStarts, at)
		}
		return s, nil
	}
	for i := range h.Facts {
		at += h.Facts[i].Size
		s.bodyStarts = append(s.bodyStarts, at)
	}
	return s, nil
}

// recordKey locates a record.
type recordKey struct {
	stream string
	offset infra.Offset
}

// chunkItemKey locates an item in a chunk record.
type chunkItemKey struct {
	recordKey
	index int
}

// inputItem is an item as the caller submitted it.
type inputItem struct {
	customID string
	body     []byte
}

// cache reads records of the log and keeps the most recently used: whole
// records for results, and single items for assignment. An item is cached
// together with the items after it, as they are assigned next.
type cache struct {
	log     infra.Log
	records *lru.Cache[recordKey, *storedRecord]
	items   *lru.Cache[chunkItemKey, inputItem]
}

func newCache(log infra.Log) *cache {
	return &cache{
		log:     log,
		records: lru.New[recordKey, *storedRecord](CacheBytes),
		items:   lru.New[chunkItemKey, inputItem](ItemCacheBytes),
	}
}

// get returns the record at an offset, from the cache or the log.
func (c *cache) get(ctx context.Context, stream string, offset infra.Offset) (*storedRecord, error) {
	key := recordKey{stream, offset}
	if s, ok := c.records.Get(key); ok {
		return s, nil
	}
	s, err := c.read(ctx, key)
	if err != nil {
		return nil, err
	}
	c.records.Add(key, s, s.bytes)
	return s, nil
}

func (c *cache) read(ctx context.Context, key recordKey) (*storedRecord, error) {
	records, err := c.log.Read(ctx, key.stream, key.offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Offset != key.offset {
		return nil, BadRecord.New("stream %s has no offset %d", key.stream, key.offset)
	}
	return newStoredRecord(records[0].Data)
}

// item returns an item of the chunk record at an offset.
func (c *cache) item(ctx context.Context, stream string, offset infra.Offset, index int) (inputItem, error) {
	key := recordKey{stream, offset}
	if it, ok := c.items.Get(chunkItemKey{key, index}); ok {
		return it, nil
	}
	s, err := c.read(ctx, key)
	if err != nil {
		return inputItem{}, err
	}
	first, err := s.item(index)
	if err != nil {
		return inputItem{}, err
	}
	bytes := 0
	for i := index; bytes <= prefetchBytes; i++ {
		it, err := s.item(i)
		if err != nil {
			break
		}
		it.body = slices.Clone(it.body) // so that the whole record can be freed
		size := len(it.body) + len(it.customID) + itemOverhead
		c.items.Add(chunkItemKey{key, i}, it, size)
		bytes += size
	}
	return first, nil
}

// prefetchBytes bounds the items of a chunk that are cached when one of them is
// read: no more are added once their size, with itemOverhead, exceeds it.
const prefetchBytes = 32 << 10

// itemOverhead is the memory, in bytes, that a cached item takes in addition to
// its body and custom ID.
const itemOverhead = 256

// item returns an item of a chunk record.
func (s *storedRecord) item(i int) (inputItem, error) {
	if s.header.Chunk == nil || i >= len(s.header.Chunk.Items) {
		return inputItem{}, BadRecord.New("no item %d", i)
	}
	body, err := s.body(i)
	return inputItem{s.header.Chunk.Items[i].CustomID, body}, err
}
