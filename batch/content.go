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

// Store is a partition of contents: request bodies, outputs and checkpoints.
type Store interface {
	keyedlog.Partition
	// At returns the record at offset, which takes at most size bytes in the store.
	// It fails with keyedlog.TrimmedError if the offset is no longer retained.
	At(ctx context.Context, offset int64, size int) (keyedlog.Record, error)
}

// Kinds of contents, the first component of their keys.
const (
	kindRequest = "b"
	kindOutput  = "t"
)

// cacheBytes bounds the contents cached in memory, in bytes. The cache holds the
// bodies and outputs of a few seconds at a busy entry.
const cacheBytes = 16 << 20

// recordOverhead is the size of a record in the store in addition to key and
// value, in bytes.
const recordOverhead = 64

// Request is the request of an item.
type Request struct {
	Path   string            `json:"path"` // including the query
	Header map[string]string `json:"header"`
	Body   []byte            `json:"-"`
}

// encodeContent returns a content in its stored form: the header as a line of
// JSON, followed by the body as it is.
func encodeContent(head any, body []byte) ([]byte, error) {
	line, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	return append(append(line, '\n'), body...), nil
}

// decodeContent decodes what encodeContent returned. It unmarshals the header
// into head; the returned body is a subslice of b.
func decodeContent(b []byte, head any) (body []byte, err error) {
	line, body, ok := bytes.Cut(b, []byte("\n"))
	if !ok {
		return nil, BadRecord.New("stored content has no header line")
	}
	if err := json.Unmarshal(line, head); err != nil {
		return nil, BadRecord.Wrap(err, "decode header line of stored content")
	}
	return body, nil
}

// contents reads request bodies and outputs from the stores, and writes all kinds
// of contents.
type contents struct {
	stores []Store
	cache  *lru.Cache[string, []byte] // by key
}

func newContents(stores []Store) *contents {
	return &contents{stores: stores, cache: lru.New[string, []byte](cacheBytes)}
}

// partition returns the index of the store that holds a job's contents.
func (c *contents) partition(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % uint32(len(c.stores)))
}

// put appends the records of one job to partition, in calls of at most callBytes
// bytes, and returns a reference to each. If it fails, some records may have
// been stored, but nothing refers to them.
func (c *contents) put(ctx context.Context, partition int, records []keyedlog.Record, callBytes int) ([]Ref, error) {
	refs := make([]Ref, 0, len(records))
	for from, to := range chunks(records, callBytes) {
		first, err := c.stores[partition].Append(ctx, keyedlog.AnyOffset, records[from:to])
		if err != nil {
			return nil, err
		}
		for i, r := range records[from:to] {
			refs = append(refs, Ref{Key: r.Key, Partition: partition, Offset: first + int64(i), Size: recordSize(r)})
			c.cache.Add(r.Key, r.Value, len(r.Value))
		}
	}
	return refs, nil
}

// appendAll appends records by partition, in calls of at most callBytes bytes.
// It does not update the cache.
func (c *contents) appendAll(ctx context.Context, byPartition map[int][]keyedlog.Record, callBytes int) error {
	for partition, records := range byPartition {
		for from, to := range chunks(records, callBytes) {
			if _, err := c.stores[partition].Append(ctx, keyedlog.AnyOffset, records[from:to]); err != nil {
				return err
			}
		}
	}
	return nil
}

// chunks splits records into chunks of at most callBytes bytes and yields the
// bounds [from, to) of each. A larger record forms a chunk of its own.
func chunks(records []keyedlog.Record, callBytes int) iter.Seq2[int, int] {
	return func(yield func(from, to int) bool) {
		for from := 0; from < len(records); {
			to, size := from, 0
			for to < len(records) && (to == from || size+recordSize(records[to]) <= callBytes) {
				size += recordSize(records[to])
				to++
			}
			if !yield(from, to) {
				return
			}
			from = to
		}
	}
}

// recordSize returns the size in bytes that a record takes in the store.
func recordSize(r keyedlog.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// outputKey returns the key of an output. Several outputs of an item may be
// stored, by other entries or by earlier attempts of this one, of which at most
// one is listed in the index; so the key names the writer's incarnation and a
// sequence number.
func outputKey(id itemID, writer Owner, sequence uint64) string {
	return itemKey(kindOutput, id.job, id.item) + "." + strconv.FormatUint(writer.Incarnation, 36) + "." + strconv.FormatUint(sequence, 36)
}

// get returns the content that ref refers to, from the cache or the store.
func (c *contents) get(ctx context.Context, ref Ref) ([]byte, error) {
	key := ref.Key
	if value, ok := c.cache.Get(key); ok {
		return value, nil
	}
	if ref.Partition < 0 || ref.Partition >= len(c.stores) {
		return nil, BadRecord.New("content %q refers to partition %d, but there are %d", key, ref.Partition, len(c.stores))
	}
	store := c.stores[ref.Partition]
	r, err := store.At(ctx, ref.Offset, ref.Size)
	if err != nil || r.Key != key {
		r, err = findNewest(ctx, store, key)
	}
	if err != nil {
		return nil, err
	}
	c.cache.Add(key, r.Value, len(r.Value))
	return r.Value, nil
}

// findNewest returns the newest record of key. It serves contents whose offset
// is no longer retained.
func findNewest(ctx context.Context, store Store, key string) (keyedlog.Record, error) {
	after := key[:len(key)-1] // sorts before key
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
			return keyedlog.Record{}, errorx.DataUnavailable.New("content %q not found in its partition", key)
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
	r.Body, err = decodeContent(value, r)
	return r, err
}
