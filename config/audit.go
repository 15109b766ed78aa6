package config

import (
	"time"

	"dandelionrelay/infra"
)

// Verdict is what every reader of the log decides alike on a record.
type Verdict string

// The verdicts.
const (
	Accepted  Verdict = "accepted"  // in force from its offset on
	Conflict  Verdict = "conflict"  // its base was not the version in force at its offset
	Malformed Verdict = "malformed" // unreadable, or the hash does not match
	Ignored   Verdict = "ignored"   // a repetition or a snapshot: changes nothing
	Pending   Verdict = "pending"   // the reader has no state yet to judge by
)

// AuditEntry is one accepted or rejected change.
type AuditEntry struct {
	Offset   infra.Offset `json:"offset"`
	Time     time.Time    `json:"time"` // by the log
	ID       string       `json:"id"`
	Operator string       `json:"operator"`
	Base     uint64       `json:"base"`
	Version  uint64       `json:"version"` // asked for
	Verdict  Verdict      `json:"verdict"`
	InForce  uint64       `json:"in_force"`         // version in force after the record
	Winner   string       `json:"winner,omitempty"` // operator whose change was first, on a conflict
	Delta    *Delta       `json:"delta,omitempty"`
	Bytes    int          `json:"bytes"` // size of the record
}

// Bounds of the audit trail that each replica keeps and snapshots carry on.
const (
	MaxAuditEntries = 8192
	MaxAuditBytes   = 1 << 20
)

// trail is a bounded audit trail that finds entries by the id of the change.
type trail struct {
	entries []AuditEntry // oldest first
	bytes   int
	byID    map[string]Verdict
	byBase  map[uint64]string // base -> operator whose change was accepted
}

func newTrail(entries []AuditEntry) *trail {
	t := &trail{byID: make(map[string]Verdict), byBase: make(map[uint64]string)}
	for _, e := range entries {
		t.add(e)
	}
	return t
}

func (t *trail) add(e AuditEntry) {
	t.entries = append(t.entries, e)
	t.bytes += e.Bytes
	t.byID[e.ID] = e.Verdict
	if e.Verdict == Accepted {
		t.byBase[e.Base] = e.Operator
	}
	for len(t.entries) > MaxAuditEntries || t.bytes > MaxAuditBytes && len(t.entries) > 1 {
		t.dropOldest()
	}
}

func (t *trail) dropOldest() {
	e := t.entries[0]
	t.entries = t.entries[1:]
	t.bytes -= e.Bytes
	delete(t.byID, e.ID)
	if e.Verdict == Accepted {
		delete(t.byBase, e.Base)
	}
}

func (t *trail) find(id string) (AuditEntry, bool) {
	if _, ok := t.byID[id]; !ok {
		return AuditEntry{}, false
	}
	for i := len(t.entries) - 1; i >= 0; i-- {
		if t.entries[i].ID == id {
			return t.entries[i], true
		}
	}
	return AuditEntry{}, false
}
