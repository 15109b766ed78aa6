package jobs

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// header is the part of a record that replay reads. A record is the header in
// JSON, preceded by its length in four bytes, big-endian, and followed by the
// concatenated bodies that the header describes.
type header struct {
	Chunk *chunkHeader `json:"chunk,omitempty"`
	File  *fileRecord  `json:"file,omitempty"`
	Job   *jobRecord   `json:"job,omitempty"`
	Facts []fact       `json:"facts,omitempty"`
}

// chunkHeader describes the items whose bodies a record holds.
type chunkHeader struct {
	Upload string      `json:"upload"`
	Seq    int         `json:"seq"`
	First  int         `json:"first"` // index of the first item in the file
	Items  []chunkItem `json:"items"`
}

// chunkItem is one item of a chunk.
type chunkItem struct {
	CustomID string `json:"id"`
	Target   int    `json:"t,omitempty"` // index into the targets of the file
	Size     int    `json:"n"`           // bytes of its body
}

// target is the destination of items of a file.
type target struct {
	Deployment string `json:"deployment"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Route      string `json:"route,omitempty"` // ID; empty in records of earlier releases
}

// fileRecord completes an upload: all its chunks were stored before this record
// or in it.
type fileRecord struct {
	ID         string       `json:"id"`
	Customer   string       `json:"customer"`
	Upload     string       `json:"upload"`
	Digest     string       `json:"digest"`
	Name       string       `json:"name,omitempty"`
	Bytes      int64        `json:"bytes"`
	Items      int          `json:"items"`
	FirstItems []int        `json:"firsts"` // index of the first item of each chunk
	Targets    []target     `json:"targets"`
	Created    time.Time    `json:"created"`
	Kept       time.Time    `json:"kept"` // removed after this time if no job uses it
	Orig       infra.Offset `json:"orig,omitempty"`
}

// jobRecord commits a job.
type jobRecord struct {
	ID       string            `json:"id"`
	Customer string            `json:"customer"`
	File     string            `json:"file"`
	Endpoint string            `json:"endpoint,omitempty"` // URL path of all items, as in JobParams
	Window   string            `json:"window,omitempty"`
	Metadata map[string]string `json:"metadata,omitempty"`
	Created  time.Time         `json:"created"`
	Due      time.Time         `json:"due"`
	Expires  time.Time         `json:"expires"` // no item starts after this time, and the job expires
	Kept     time.Time         `json:"kept"`    // results are readable until then; after that the job is removed
	Orig     infra.Offset      `json:"orig,omitempty"`
}

// factKind is the kind of a fact.
type factKind string

// The kinds of facts. Facts may be repeated and merged in any order: each
// carries the offset of its original record, and the lowest one prevails. But
// failure counts merge by maximum, and releases are collected.
const (
	factDone     factKind = "done"    // an item has a final result
	factBegin    factKind = "begin"   // a non-idempotent item is about to start
	factRelease  factKind = "release" // the attempt of a begin certainly did not start
	factFailures factKind = "setback" // counts of failed attempts and crashes of an item so far
	factCancel   factKind = "cancel"  // the job is cancelled
	factExpire   factKind = "expire"  // the job reached its expiry time
	factDelete   factKind = "delete"  // the job is deleted
)

// resultCode says how an item ended.
type resultCode string

// The result codes.
const (
	itemDone     resultCode = ""                  // the endpoint's response is the result
	itemFailed   resultCode = "failed"            // MaxAttempts is reached
	itemCrashed  resultCode = "crashed_endpoints" // endpoints crashed running it
	itemUnknown  resultCode = "unknown"           // it may have run and is not idempotent
	itemTooLarge resultCode = "result_too_large"
)

// fact is one statement about a job or an item.
type fact struct {
	Kind           factKind     `json:"k"`
	Job            string       `json:"j"`
	Item           int          `json:"i,omitempty"`
	Orig           infra.Offset `json:"o,omitempty"` // offset of the original record; 0: this one
	Time           time.Time    `json:"at,omitzero"` // time of that record, if this is a renewed copy
	CustomID       string       `json:"id,omitempty"`
	Attempt        string       `json:"a,omitempty"`
	Code           resultCode   `json:"c,omitempty"`
	Status         int          `json:"s,omitempty"`
	Size           int          `json:"n,omitempty"`  // bytes of the result's body
	Gen            int          `json:"g,omitempty"`  // generation of a begin or a release: the number of begins released before
	FailedAttempts int          `json:"as,omitempty"` // of factFailures; see item
	Crashes        int          `json:"d,omitempty"`  // of factFailures; see item
	body           []byte       // of the result, until it is appended
}

// encodeRecord returns the encoded record.
func encodeRecord(h *header, bodies ...[]byte) []byte {
	head, err := json.Marshal(h)
	if err != nil {
		panic(err) // the types above always marshal
	}
	size := 4 + len(head)
	for _, b := range bodies {
		size += len(b)
	}
	out := make([]byte, 4, size)
	binary.BigEndian.PutUint32(out, uint32(len(head)))
	out = append(out, head...)
	for _, b := range bodies {
		out = append(out, b...)
	}
	return out
}

// decodeRecord splits a record into its header and bodies.
func decodeRecord(data []byte) (*header, []byte, error) {
	if len(data) < 4 {
		return nil, nil, BadRecord.New("record of %d bytes", len(data))
	}
	n := int(binary.BigEndian.Uint32(data))
	if n > len(data)-4 {
		return nil, nil, BadRecord.New("header of %d bytes in a record of %d", n, len(data))
	}
	h := new(header)
	if err := json.Unmarshal(data[4:4+n], h); err != nil {
		return nil, nil, BadRecord.Wrap(err, "header")
	}
	return h, data[4+n:], nil
}

// encodeFacts returns the encoded group record of facts, and sets their sizes.
func encodeFacts(facts []fact) []byte {
	bodies := make([][]byte, 0, len(facts))
	for i := range facts {
		facts[i].Size = len(facts[i].body)
		bodies = append(bodies, facts[i].body)
	}
	return encodeRecord(&header{Facts: facts}, bodies...)
}
