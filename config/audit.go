package config

import (
	"time"

	"dandelionrelay/infra"
)

// Verdict is the decision of a replica on a record. All replicas that decide on a
// change reach the same verdict.
type Verdict string

// Verdicts on a record.
const (
	Accepted  Verdict = "accepted"  // in force from its offset on
	Conflict  Verdict = "conflict"  // its base is not the version in force at its offset
	Malformed Verdict = "malformed" // unreadable or inconsistent, for example with a hash that does not match
	Ignored   Verdict = "ignored"   // changes nothing: a repeated or out-of-order record, or a snapshot that the replica does not need or can't use
	Pending   Verdict = "pending"   // the replica has no state yet to apply the record to
)

// AuditEntry is one accepted or rejected change.
type AuditEntry struct {
	Offset   infra.Offset `json:"offset"`
	Time     time.Time    `json:"time"` // by the log's clock
	ID       string       `json:"id"`
	Operator string       `json:"operator"`
	Base     uint64       `json:"base"`
	Version  uint64       `json:"version"` // version that the change would create
	Verdict  Verdict      `json:"verdict"`
	InForce  uint64       `json:"in_force"`         // version in force after the record
	Winner   string       `json:"winner,omitempty"` // on a conflict, the operator whose change from the same base was accepted
	Delta    *Delta       `json:"delta,omitempty"`
	Bytes    int          `json:"bytes"` // size of the record
}

// Limits on the audit trail that each replica keeps and that snapshots contain.
const (
	MaxAuditEntries = 8192
	MaxAuditBytes   = 1 << 20
)

// auditTrail is a bounded audit trail with lookup by the ID of the change.
type auditTrail struct {
	entries []AuditEntry // oldest first
	bytes   int
	byID    map[string]Verdict
	byBase  map[uint64]string // base -> operator whose change was accepted
}

func newAuditTrail(entries []AuditEntry) *auditTrail {
	t := &auditTrail{byID: make(map[string]Verdict), byBase: make(map[uint64]string)}
	for _, e := range entries {
		t.add(e)
	}
	return t
}

func (t *auditTrail) add(e AuditEntry) {
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

func (t *auditTrail) dropOldest() {
	e := t.entries[0]
	t.entries = t.entries[1:]
	t.bytes -= e.Bytes
	delete(t.byID, e.ID)
	if e.Verdict == Accepted {
		delete(t.byBase, e.Base)
	}
}

func (t *auditTrail) find(id string) (AuditEntry, bool) {
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
