package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"iter"
	"strconv"

	"github.com/joomcode/errorx"

	"dandelionrelay/keyedlog"
	"dandelionrelay/lru"
)

// Store is a partition of contents.
type Store interface {
	keyedlog.Partition
	// At returns the record at offset, of at most size bytes with its key. It
	// fails with keyedlog.TrimmedError if it is no longer kept there.
	At(ctx context.Context, offset int64, size int) (keyedlog.Record, error)
}

// Kinds of contents, the first letter of their keys.
const (
	kindRequest = "b"
	kindOutput  = "t"
)

// cacheBytes bounds the contents kept in memory: some seconds of a busy
// entry's bodies and outputs.
const cacheBytes = 16 << 20

// recordOverhead is what a record takes beside key and value, in bytes.
const recordOverhead = 64

// Request is the request of an item.
type Request struct {
	Path   string            `json:"path"` // with its query
	Header map[string]string `json:"header"`
	Body   []byte            `json:"-"`
}

// join returns a content as it is stored: its head as a line of JSON, then the
// body as it is.
func join(head any, body []byte) ([]byte, error) {
	line, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), body...), nil
}

// split reads what join returned: head is filled in, and the body is part of b.
func split(b []byte, head any) (body []byte, err error) {
	line, body, ok := bytes.Cut(b, []byte("\n"))
	if !ok {
		return nil, BadRecord.New("a content without a head")
	}
	if err := json.Unmarshal(line, head); err != nil {
		return nil, BadRecord.Wrap(err, "the head of a content")
	}
	return body, nil
}

// contents reads and writes bodies and outputs.
type contents struct {
	stores []Store
	cache  *lru.Cache[string, []byte] // by key
}

func newContents(stores []Store) *contents {
	return &contents{stores: stores, cache: lru.New[string, []byte](cacheBytes)}
}

// part returns the partition of a job's contents.
func (c *contents) part(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % uint32(len(c.stores)))
}

// put stores records of one job, some in a call, and returns where they lie.
// After a failure some may be stored; nothing refers to them.
func (c *contents) put(ctx context.Context, part int, records []keyedlog.Record, callBytes int) ([]Ref, error) {
	refs := make([]Ref, 0, len(records))
	for from, to := range calls(records, callBytes) {
		first, err := c.stores[part].Append(ctx, keyedlog.AnyOffset, records[from:to])
		if err != nil {
			return nil, err
		}
		for i, r := range records[from:to] {
			refs = append(refs, Ref{Key: r.Key, Partition: part, Offset: first + int64(i), Size: weight(r)})
			c.cache.Add(r.Key, r.Value, len(r.Value))
		}
	}
	return refs, nil
}

// appendAll stores records by partition, some in a call. What is kept in
// memory stays as it is.
func (c *contents) appendAll(ctx context.Context, byPart map[int][]keyedlog.Record, callBytes int) error {
	for part, records := range byPart {
		for from, to := range calls(records, callBytes) {
			if _, err := c.stores[part].Append(ctx, keyedlog.AnyOffset, records[from:to]); err != nil {
				return err
			}
		}
	}
	return nil
}

// calls yields the bounds of the parts of records that fit in one call each.
func calls(records []keyedlog.Record, callBytes int) iter.Seq2[int, int] {
	return func(yield func(from, to int) bool) {
		for from := 0; from < len(records); {
			to, size := from, 0
			for to < len(records) && (to == from || size+weight(records[to]) <= callBytes) {
				size += weight(records[to])
				to++
			}
			if !yield(from, to) {
				return
			}
			from = to
		}
	}
}

// weight is the size of a record as the store counts it.
func weight(r keyedlog.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// outputKey returns the key of an output. Other entries, and this one earlier,
// may have stored outputs of the same item, of which at most one is listed.
func outputKey(id itemID, writer Owner, sequence uint64) string {
	return itemKey(kindOutput, id.job, id.item) + "." + strconv.FormatUint(writer.Incarnation, 36) + "." + strconv.FormatUint(sequence, 36)
}

// get returns the content at ref.
func (c *contents) get(ctx context.Context, ref Ref) ([]byte, error) {
	key := ref.Key
	if value, ok := c.cache.Get(key); ok {
		return value, nil
	}
	if ref.Partition < 0 || ref.Partition >= len(c.stores) {
		return nil, BadRecord.New("content %q in partition %d of %d", key, ref.Partition, len(c.stores))
	}
	store := c.stores[ref.Partition]
	r, err := store.At(ctx, ref.Offset, ref.Size)
	if err != nil || r.Key != key {
		r, err = newest(ctx, store, key)
	}
	if err != nil {
		return nil, err
	}
	c.cache.Add(key, r.Value, len(r.Value))
	return r.Value, nil
}

// newest finds the newest record of key where its offset is no longer kept.
func newest(ctx context.Context, store Store, key string) (keyedlog.Record, error) {
	after := key[:len(key)-1]
	for {
		page, more, err := store.Newest(ctx, after)
		if err != nil {
			return keyedlog.Record{}, err
		}
		for _, r := range page.Records {
			if r.Key == key {
				return r, nil
			}
		}
		if !more || len(page.Records) == 0 || page.Records[len(page.Records)-1].Key > key {
			return keyedlog.Record{}, errorx.DataUnavailable.New("content %q is not stored", key)
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// request returns the request of an item.
func (c *contents) request(ctx context.Context, ref Ref) (*Request, error) {
	value, err := c.get(ctx, ref)
	if err != nil {
		return nil, err
	}
	r := new(Request)
	r.Body, err = split(value, r)
	return r, err
}
