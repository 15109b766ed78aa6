package config

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// Replica is the state machine that applies the records of the configuration
// stream in the order of their offsets. It does no I/O and is not safe for
// concurrent use: the caller passes it the records that it read from the log or
// got from a peer. All replicas that applied the same offsets agree.
//
// A replica is known once it has a state that changes can be applied to: it has
// read the log from its first record on, has applied a snapshot, or has restored
// the state of a peer. Before that, changes are kept as pending until a snapshot
// provides the state that they apply to.
type Replica struct {
	invariants       *invariant.Set
	known            bool
	version          uint64
	hash             Hash
	state            *State
	through          infra.Offset // last offset that was applied or is pending
	trail            *auditTrail
	history          history
	lastSnapshotTime time.Time // when the last snapshot was appended, by the log's clock

	firstPending infra.Offset   // first offset that is pending, while not known
	pending      []infra.Record // changes from firstPending on, while not known
}

// NewReplica returns a replica at version 0 that is not known yet.
func NewReplica(invariants *invariant.Set) *Replica {
	return &Replica{invariants: invariants, state: &State{}, trail: newAuditTrail(nil)}
}

// Version returns the version in force.
func (r *Replica) Version() uint64 { return r.version }

// State returns the state in force. It is read-only.
func (r *Replica) State() *State { return r.state }

// Hash returns the content hash of the state in force.
func (r *Replica) Hash() Hash { return r.hash }

// Known reports whether the replica has a state that changes can be applied to.
func (r *Replica) Known() bool { return r.known }

// Through returns the last offset that was applied or is pending.
func (r *Replica) Through() infra.Offset { return r.through }

// NextOffset returns the offset of the next record to apply.
func (r *Replica) NextOffset() infra.Offset { return r.through + 1 }

// LastSnapshotTime returns when the last snapshot was appended, by the log's
// clock; zero if none was seen.
func (r *Replica) LastSnapshotTime() time.Time { return r.lastSnapshotTime }

// Audit returns the accepted and rejected changes kept, oldest first.
func (r *Replica) Audit() []AuditEntry { return slices.Clone(r.trail.entries) }

// LastChangeID returns the ID of the last accepted change, or an empty string if
// the audit trail has none.
func (r *Replica) LastChangeID() string {
	for _, e := range slices.Backward(r.trail.entries) {
		if e.Verdict == Accepted {
			return e.ID
		}
	}
	return ""
}

// AuditEntryByID returns the audit entry of the change with the given ID. It
// reports false if the audit trail has none.
func (r *Replica) AuditEntryByID(id string) (AuditEntry, bool) { return r.trail.find(id) }

// SetLogStart sets the oldest offset that the log keeps and returns the offset to
// read from. If records expired before the replica read them, the state in force
// stays in force, but no change is decided on until a snapshot or a peer provides
// a state that includes them.
func (r *Replica) SetLogStart(oldest infra.Offset) infra.Offset {
	if oldest == 1 && r.through == 0 {
		r.known = true
	}
	if oldest > r.NextOffset() {
		r.known = false
		r.pending = nil
		r.history.reset()
		r.firstPending = oldest
		r.through = oldest - 1
	}
	return r.NextOffset()
}

// Apply applies the record at offset NextOffset. It ignores lower offsets, which
// were applied already, and higher ones, as no record may be skipped.
func (r *Replica) Apply(raw infra.Record) Verdict {
	if raw.Offset != r.NextOffset() {
		return Ignored
	}
	r.through = raw.Offset
	rec := decode(raw)
	if rec.Kind == KindSnapshot {
		return r.applySnapshot(raw, rec)
	}
	if !r.known {
		r.pending = append(r.pending, raw)
		return Pending
	}
	r.history.add(raw)
	return r.applyChange(raw, rec)
}

// decode parses a record; of an unreadable one only the ID is set.
func decode(raw infra.Record) Record {
	var rec Record
	if err := json.Unmarshal(raw.Data, &rec); err != nil {
		rec = Record{}
	}
	if rec.ID == "" {
		rec.ID = raw.ID
	}
	return rec
}

// applySnapshot installs the state of a snapshot if the replica is not known
// yet. A known replica keeps its state and checks that the version of the snapshot
// is not ahead of the version in force.
func (r *Replica) applySnapshot(raw infra.Record, rec Record) Verdict {
	r.lastSnapshotTime = raw.Time
	if r.known {
		r.history.add(withSnapshotMarker(raw))
		r.invariants.Check(rec.Version <= r.version, invariant.ConfigNeverReverts,
			"snapshot at offset %d has version %d, in force is %d", raw.Offset, rec.Version, r.version)
		return Ignored
	}
	if rec.Full == nil || !r.leavesNoGap(rec.Full) || !r.install(rec.Full) {
		return Ignored
	}
	return Accepted
}

// leavesNoGap reports whether no offset is missing between full and the pending
// changes.
func (r *Replica) leavesNoGap(full *FullState) bool { return full.Through+1 >= r.firstPending }

// Restore installs the state of a peer if it is ahead of the replica or the
// replica is not known, leaves no gap before the pending changes, and matches its
// hash. It reports whether it did.
func (r *Replica) Restore(full *FullState) bool {
	if r.known && full.Through <= r.through || !r.leavesNoGap(full) {
		return false
	}
	if !r.install(full) {
		return false
	}
	if full.Through > r.through {
		r.through = full.Through
		r.history.reset()
	}
	if full.LastSnapshotTime.After(r.lastSnapshotTime) {
		r.lastSnapshotTime = full.LastSnapshotTime
	}
	return true
}

// install makes full the state in force and then applies the pending changes
// after it. It reports false, and changes nothing, if full is invalid.
func (r *Replica) install(full *FullState) bool {
	if full.State == nil || full.Version < r.version || HashOf(full.State) != full.Hash {
		return false
	}
	if !r.activate(full.Version, full.State, full.Hash) {
		return false
	}
	r.known = true
	r.trail = newAuditTrail(full.Audit)
	r.history.reset()
	pending := r.pending
	r.pending = nil
	for _, raw := range pending {
		if raw.Offset > full.Through {
			r.applyChange(raw, decode(raw))
		}
	}
	return true
}

func (r *Replica) applyChange(raw infra.Record, rec Record) Verdict {
	if _, seen := r.trail.byID[rec.ID]; seen {
		return Ignored
	}
	entry := AuditEntry{
		Offset:   raw.Offset,
		Time:     raw.Time,
		ID:       rec.ID,
		Operator: rec.Operator,
		Base:     rec.Base,
		Version:  rec.Version,
		Verdict:  r.decide(rec),
		Delta:    rec.Delta,
		Bytes:    len(raw.Data),
	}
	entry.InForce = r.version
	if entry.Verdict == Conflict {
		entry.Winner = r.trail.byBase[rec.Base]
	}
	r.trail.add(entry)
	return entry.Verdict
}

// decide returns the verdict on a change and puts it in force if it is accepted.
func (r *Replica) decide(rec Record) Verdict {
	if rec.Kind != KindChange || rec.Delta == nil || rec.Version != rec.Base+1 {
		return Malformed
	}
	if rec.Base != r.version {
		return Conflict
	}
	state, hash := r.state.Apply(rec.Delta, r.hash)
	if hash != rec.Hash || !r.activate(rec.Version, state, hash) {
		return Malformed
	}
	return Accepted
}

// activate makes version the version in force. The version never decreases, and
// the content of a version never changes; activate reports false, and changes
// nothing, if this would be violated.
func (r *Replica) activate(version uint64, state *State, hash Hash) bool {
	ok := r.invariants.Check(version > r.version || version == r.version && hash == r.hash,
		invariant.ConfigNeverReverts,
		"version %d with content %x would follow version %d with content %x", version, hash[:4], r.version, r.hash[:4])
	if !ok {
		return false
	}
	r.version = version
	r.state = state
	r.hash = hash
	return true
}

// FullState returns the complete state of the replica, for a snapshot or a peer.
// It is nil while the replica is not known.
func (r *Replica) FullState() *FullState {
	if !r.known {
		return nil
	}
	return &FullState{
		Version:          r.version,
		Hash:             r.hash,
		State:            r.state,
		Through:          r.through,
		LastSnapshotTime: r.lastSnapshotTime,
		Audit:            r.Audit(),
	}
}

// RecordsAfter returns the records after an offset, for a peer that follows this
// replica. It reports false if not all of them are kept: the peer then needs the
// FullState.
func (r *Replica) RecordsAfter(offset infra.Offset) ([]infra.Record, bool) {
	if !r.known || offset > r.through {
		return nil, offset >= r.through
	}
	return r.history.recordsAfter(offset, r.through)
}
