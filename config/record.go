package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// Stream is the stream of the platform's log that carries configuration.
const Stream = "config"

// RecordKind says what a record of the stream is.
type RecordKind string

// The kinds of records.
const (
	KindChange   RecordKind = "change"   // a delta from Base to Base+1
	KindSnapshot RecordKind = "snapshot" // the state in force, carried forward
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       string     `json:"id"` // unique per change; the same in every retry
	Operator string     `json:"operator,omitempty"`
	Time     time.Time  `json:"time"`           // by the clock of the author, for people only
	Base     uint64     `json:"base,omitempty"` // version from which a change was made
	Version  uint64     `json:"version"`        // Base+1, or the version of the snapshot
	Hash     Hash       `json:"hash"`           // of the state at Version
	Delta    *Delta     `json:"delta,omitempty"`
	Full     *FullState `json:"full,omitempty"`
}

// FullState is a whole replica: what a snapshot record carries and what a peer
// hands to one that starts.
type FullState struct {
	Version          uint64       `json:"version"`
	Hash             Hash         `json:"hash"`
	State            *State       `json:"state"`
	Through          infra.Offset `json:"through"`          // last offset that went into State
	LastSnapshotTime time.Time    `json:"carried,omitzero"` // of the last snapshot in the log
	Audit            []AuditEntry `json:"audit,omitempty"`
}

// Hash is the content hash of a State: the exclusive or of the SHA-256
// digests of its entries, so that a delta changes it at its own cost.
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

// toggle adds an entry to the hash, or takes it out again.
func (h *Hash) toggle(section, id string, entry any) {
	b, err := json.Marshal(entry)
	if err != nil {
		// The types of entries hold nothing that fails to marshal but
		// infinite or NaN rates, which JSON input cannot carry.
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
	return h
}

func hashSection[T any](h *Hash, section string, entries map[string]T) {
	for id, e := range entries {
		h.toggle(section, id, e)
	}
}
