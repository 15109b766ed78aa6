// Package batch stores batch jobs and runs their items. Durable state is kept in
// a partition of a keyed log, the index, to which an entry appends only after it
// has read all earlier records, so that each job is accepted once, each result has
// one position, and a customer's token limit holds across all entries. A result
// is listed once the index has a record of it. Request bodies, outputs and
// checkpoints, the contents, are stored in other partitions and read on demand.
package batch

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/keyedlog"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("batch")

// BadRecord reports that a stored record cannot be decoded.
var BadRecord = Errors.NewType("bad_record")

// Ref is a reference to a stored content.
type Ref struct {
	Key       string `json:"key"` // unique to one content, never reused
	Partition int    `json:"part"`
	Offset    int64  `json:"offset"`
	Size      int    `json:"size"` // bytes
}

// Item is one request of a job as stored in the index.
type Item struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"` // prompt tokens plus the maximum number of output tokens
	Ref    Ref    `json:"ref"`    // the stored Request
}

// Owner identifies the incarnation of an entry that runs a job.
type Owner struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
}

// Job is a job as stored in the index when it was accepted.
type Job struct {
	ID        string    `json:"id"`
	Customer  string    `json:"customer"`
	Route     string    `json:"route"`
	Host      string    `json:"host"`
	Submitted time.Time `json:"submitted"`
	Items     []Item    `json:"items"`
	Owner     Owner     `json:"owner"` // the entry that accepted it
}

// ItemState is the final state of an item.
type ItemState string

// Final states of items.
const (
	Completed ItemState = "completed"
	Errored   ItemState = "errored"
)

// Result is the result of one item as stored in the index.
type Result struct {
	Position int       `json:"position"` // in the order of listing, from 0
	State    ItemState `json:"state"`
	Reason   string    `json:"reason,omitempty"` // why the item errored
	Output   Ref       `json:"output"`           // Size 0: no output
	Item     int       `json:"-"`                // item index, decoded from the key
}

// Kinds of index records, the first component of their keys.
const (
	kindJob    = "j"
	kindOwner  = "o"
	kindCancel = "e"
	kindResult = "r"
)

// maxIDLength bounds the IDs of jobs and items in bytes, as they are part of keys
// of at most 255 bytes.
const maxIDLength = 100

// ValidID reports whether id is allowed as the ID of a job or an item: 1 to
// maxIDLength printable ASCII characters other than space and ".", which separates
// the components of keys.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '.' {
			return false
		}
	}
	return true
}

// key returns the key of a record of a job.
func key(kind, job string) string { return kind + "." + job }

// itemKey returns the key of a record of an item.
func itemKey(kind, job string, item int) string {
	return kind + "." + job + "." + strconv.Itoa(item)
}

// splitKey splits a key into its components; item is -1 if the key has none.
func splitKey(k string) (kind, job string, item int, err error) {
	parts := strings.Split(k, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return "", "", 0, BadRecord.New("malformed key %q", k)
	}
	if len(parts) == 2 {
		return parts[0], parts[1], -1, nil
	}
	item, err = strconv.Atoi(parts[2])
	if err != nil || item < 0 {
		return "", "", 0, BadRecord.New("malformed key %q", k)
	}
	return parts[0], parts[1], item, nil
}

// encode returns an index record with value as JSON.
func encode(key string, value any) (keyedlog.Record, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return keyedlog.Record{}, err
	}
	return keyedlog.Record{Key: key, Value: b}, nil
}
