package jobs

import (
	"context"
	"slices"

	"dandelionrelay/infra"
	"dandelionrelay/lru"
)

// stored is a record as it lies in the log, split once.
type storedRecord struct {
	header     *header
	bodies     []byte
	bodyStarts []int // of each body in blob
	bytes      int
}

// body returns the body with that index.
func (s *storedRecord) body(i int) ([]byte, error) {
	if i < 0 || i+1 >= len(s.bodyStarts) || s.bodyStarts[i+1] > len(s.bodies) {
		return nil, BadRecord.New("no body %d", i)
	}
	return s.bodies[s.bodyStarts[i]:s.bodyStarts[i+1]], nil
}

func newStored(data []byte) (*storedRecord, error) {
	h, blob, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	s := &storedRecord{header: h, bodies: blob, bodyStarts: []int{0}, bytes: len(data)}
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

// recordKey is the place of a record.
type recordKey struct {
	stream string
	offset infra.Offset
}

// itemPlace is the place of an item in a chunk record.
type chunkItemKey struct {
	recordKey
	index int
}

// inputItem is an item as the caller sent it.
type inputItem struct {
	customID string
	body     []byte
}

// cache reads from the log and keeps what was used last: whole records, for
// results, and single items, for handing out. An item is read together with
// those after it, as they are handed out next.
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

// get returns the record at an offset.
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
	return newStored(records[0].Data)
}

// item returns an item of the chunk at an offset.
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
		it.body = slices.Clone(it.body) // the record is not kept
		size := len(it.body) + len(it.customID) + itemOverhead
		c.items.Add(chunkItemKey{key, i}, it, size)
		bytes += size
	}
	return first, nil
}

// prefetchBytes is how much is kept of a chunk that one item was read from.
const prefetchBytes = 32 << 10

// itemOverhead is the memory that an item in the cache takes besides its
// bytes.
const itemOverhead = 256

// item returns an item of a chunk record.
func (s *storedRecord) item(i int) (inputItem, error) {
	if s.header.Chunk == nil || i >= len(s.header.Chunk.Items) {
		return inputItem{}, BadRecord.New("no item %d", i)
	}
	body, err := s.body(i)
	return inputItem{s.header.Chunk.Items[i].CustomID, body}, err
}
