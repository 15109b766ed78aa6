// Package batch keeps batch jobs and runs their items. What must last lies in
// a keyed partition, the index, whose records are appended only at the end that
// their writer has read: so each job is accepted once, each result has one
// position, and a customer's bound holds over all entries. Bodies and outputs
// lie apart and are read when they are needed.
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

// BadRecord says that a stored record can't be read.
var BadRecord = Errors.NewType("bad_record")

// Ref tells where a content lies.
type Ref struct {
	Key       string `json:"key"` // never used for two different contents
	Partition int    `json:"part"`
	Offset    int64  `json:"offset"`
	Size      int    `json:"size"` // bytes
}

// Item is one request of a job as the index holds it.
type Item struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"` // of the prompt and, at most, of the output
	Ref    Ref    `json:"ref"`    // of its Request
}

// Owner is the incarnation of an entry that runs a job.
type Owner struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
}

// Job is a job as it was accepted.
type Job struct {
	ID        string    `json:"id"`
	Customer  string    `json:"customer"`
	Route     string    `json:"route"`
	Host      string    `json:"host"`
	Submitted time.Time `json:"submitted"`
	Items     []Item    `json:"items"`
	Owner     Owner     `json:"owner"` // the entry that accepted it
}

// ItemState is how an item ended.
type ItemState string

// The states of ended items.
const (
	Completed ItemState = "completed"
	Errored   ItemState = "errored"
)

// Result is one result of a job.
type Result struct {
	Position int       `json:"position"` // from 0
	State    ItemState `json:"state"`
	Reason   string    `json:"reason,omitempty"` // why it errored
	Output   Ref       `json:"output"`           // size 0: empty
	Item     int       `json:"-"`                // index of its item, from the key
}

// Kinds of index records, the first letter of their keys.
const (
	kindJob    = "j"
	kindOwner  = "o"
	kindEnd    = "e"
	kindResult = "r"
)

// maxIDLength bounds ids of jobs and items, as they become parts of keys of at
// most 255 bytes.
const maxIDLength = 100

// ValidID reports whether id can be the id of a job or an item.
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

func key(kind, job string) string { return kind + "." + job }

func itemKey(kind, job string, item int) string {
	return kind + "." + job + "." + strconv.Itoa(item)
}

// splitKey takes a key apart; item is -1 if it has none.
func splitKey(k string) (kind, job string, item int, err error) {
	parts := strings.Split(k, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return "", "", 0, BadRecord.New("key %q", k)
	}
	if len(parts) == 2 {
		return parts[0], parts[1], -1, nil
	}
	item, err = strconv.Atoi(parts[2])
	if err != nil || item < 0 {
		return "", "", 0, BadRecord.New("key %q", k)
	}
	return parts[0], parts[1], item, nil
}

// encode returns an index record.
func encode(key string, value any) (keyedlog.Record, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return keyedlog.Record{}, err
	}
	return keyedlog.Record{Key: key, Value: b}, nil
}
