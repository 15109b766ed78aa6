package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// Stream is the name of the stream of the platform's log that holds the
// configuration records.
const Stream = "config"

// RecordKind is the kind of a record of the configuration stream.
type RecordKind string

// Kinds of records.
const (
	KindChange   RecordKind = "change"   // a delta from Base to Base+1
	KindSnapshot RecordKind = "snapshot" // the complete state in force, appended again before it expires
)

// Record is one record of the configuration stream.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       string     `json:"id"` // unique per change; the same in every retry
	Operator string     `json:"operator,omitempty"`
	Time     time.Time  `json:"time"`           // by the clock of the author; informational only
	Base     uint64     `json:"base,omitempty"` // version that a change is based on
	Version  uint64     `json:"version"`        // Base+1, or the version of the snapshot
	Hash     Hash       `json:"hash"`           // of the state at Version
	Delta    *Delta     `json:"delta,omitempty"`
	Full     *FullState `json:"full,omitempty"`
}

// FullState is the complete state of a replica: the content of a snapshot
// record, and what a peer sends to a process that starts or that lacks records
// which the peer no longer keeps.
type FullState struct {
	Version          uint64       `json:"version"`
	Hash             Hash         `json:"hash"`
	State            *State       `json:"state"`
	Through          infra.Offset `json:"through"`          // last offset applied to State
	LastSnapshotTime time.Time    `json:"carried,omitzero"` // when the last snapshot was appended to the log, by the log's clock
	Audit            []AuditEntry `json:"audit,omitempty"`
}

// Hash is the content hash of a State: the exclusive or of the SHA-256
// digests of its entries, so that the cost of updating it is proportional to
// the size of the delta.
type Hash [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return hex.ErrLength
	}
	_, err := hex.Decode(h[:], b)
	return err
}

// toggle adds an entry to the hash, or removes it if it was added before.
func (h *Hash) toggle(section, id string, entry any) {
	b, err := json.Marshal(entry)
	if err != nil {
		// Entries fail to marshal only if a number is infinite or NaN, which
		// JSON input cannot contain.
		b = []byte(err.Error())
	}
	sum := sha256.New()
	sum.Write([]byte(section))
	sum.Write([]byte{0})
	sum.Write([]byte(id))
	sum.Write([]byte{0})
	sum.Write(b)
	var digest [sha256.Size]byte
	sum.Sum(digest[:0])
	for i := range h {
		h[i] ^= digest[i]
	}
}

// HashOf returns the content hash of s.
func HashOf(s *State) Hash {
	var h Hash
	hashSection(&h, "customers", s.Customers)
	hashSection(&h, "keys", s.Keys)
	hashSection(&h, "routes", s.Routes)
	hashSection(&h, "deployments", s.Deployments)
	hashSection(&h, "evacuations", s.Evacuations)
	return h
}

func hashSection[T any](h *Hash, section string, entries map[string]T) {
	for id, e := range entries {
		h.toggle(section, id, e)
	}
}
