package config

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// Replica decides on the records of the configuration stream in the order of
// their offsets. It is passive: whoever reads the log, or a peer that did,
// hands it the records. All replicas that saw the same offsets agree.
//
// A replica is known once it has a state to judge by: it read the log from
// its first record on, met a snapshot, or took the state from a peer. Before
// that it holds the changes back until a snapshot tells what they apply to.
type Replica struct {
	checks  *invariant.Set
	known   bool
	version uint64
	hash    Hash
	state   *State
	through infra.Offset // last offset decided on, or held back
	trail   *trail
	recent  history
	carried time.Time // of the last snapshot in the log, by the log's clock

	first infra.Offset   // first offset held back, while not known
	held  []infra.Record // changes from first on, while not known
}

// NewReplica returns a replica at version 0 that knows nothing yet.
func NewReplica(checks *invariant.Set) *Replica {
	return &Replica{checks: checks, state: &State{}, trail: newTrail(nil)}
}

// Version returns the version in force.
func (r *Replica) Version() uint64 { return r.version }

// State returns the state in force. It is read-only.
func (r *Replica) State() *State { return r.state }

// Hash returns the content hash of the state in force.
func (r *Replica) Hash() Hash { return r.hash }

// Known reports whether the replica has a state to judge by.
func (r *Replica) Known() bool { return r.known }

// Through returns the last offset that was applied.
func (r *Replica) Through() infra.Offset { return r.through }

// NextOffset returns the offset that is to be applied next.
func (r *Replica) NextOffset() infra.Offset { return r.through + 1 }

// LastSnapshotTime returns when the last snapshot was appended, by the log's clock;
// zero if none was seen.
func (r *Replica) LastSnapshotTime() time.Time { return r.carried }

// Audit returns the accepted and rejected changes kept, oldest first.
func (r *Replica) Audit() []AuditEntry { return slices.Clone(r.trail.entries) }

// LastChangeID returns the id of the last accepted change; empty if it is not
// kept.
func (r *Replica) LastChangeID() string {
	for _, e := range slices.Backward(r.trail.entries) {
		if e.Verdict == Accepted {
			return e.ID
		}
	}
	return ""
}

// AuditEntryByID returns the verdict on the change with the given id.
func (r *Replica) AuditEntryByID(id string) (AuditEntry, bool) { return r.trail.find(id) }

// SetLogStart tells the replica the oldest offset that the log keeps. It returns
// the offset to read from. If records were missed, what is in force stays so,
// but nothing is judged until a snapshot or a peer tells what they did.
func (r *Replica) SetLogStart(oldest infra.Offset) infra.Offset {
	if oldest == 1 && r.through == 0 {
		r.known = true
	}
	if oldest > r.NextOffset() {
		r.known = false
		r.held = nil
		r.recent.reset()
		r.first = oldest
		r.through = oldest - 1
	}
	return r.NextOffset()
}

// Apply decides on the record at offset Next. It ignores those before, which
// were applied already, and those after, as it must not skip any.
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
		r.held = append(r.held, raw)
		return Pending
	}
	r.recent.add(raw)
	return r.applyChange(raw, rec)
}

// decode reads a record; an unreadable one has only its id.
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

// applySnapshot takes the state of a snapshot if there is none yet to judge
// by; else the snapshot changes nothing.
func (r *Replica) applySnapshot(raw infra.Record, rec Record) Verdict {
	r.carried = raw.Time
	if r.known {
		r.recent.add(withoutData(raw))
		r.checks.Check(rec.Version <= r.version, invariant.ConfigNeverReverts,
			"snapshot at offset %d has version %d, in force is %d", raw.Offset, rec.Version, r.version)
		return Ignored
	}
	if rec.Full == nil || !r.covers(rec.Full) || !r.take(rec.Full) {
		return Ignored
	}
	return Accepted
}

// covers reports whether full and the changes held back leave no gap.
func (r *Replica) covers(full *FullState) bool { return full.Through+1 >= r.first }

// Restore takes the state of a peer if it is further on, with no gap, and its
// hash is right. It reports whether it did.
func (r *Replica) Restore(full *FullState) bool {
	if r.known && full.Through <= r.through || !r.covers(full) {
		return false
	}
	if !r.take(full) {
		return false
	}
	if full.Through > r.through {
		r.through = full.Through
		r.recent.reset()
	}
	if full.LastSnapshotTime.After(r.carried) {
		r.carried = full.LastSnapshotTime
	}
	return true
}

// take puts the state of full in force, and then the changes held back that
// came after it.
func (r *Replica) take(full *FullState) bool {
	if full.State == nil || full.Version < r.version || HashOf(full.State) != full.Hash {
		return false
	}
	if !r.put(full.Version, full.State, full.Hash) {
		return false
	}
	r.known = true
	r.trail = newTrail(full.Audit)
	r.recent.reset()
	held := r.held
	r.held = nil
	for _, raw := range held {
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
		Verdict:  r.judge(rec),
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

// judge puts the change in force if it may be.
func (r *Replica) judge(rec Record) Verdict {
	if rec.Kind != KindChange || rec.Delta == nil || rec.Version != rec.Base+1 {
		return Malformed
	}
	if rec.Base != r.version {
		return Conflict
	}
	state, hash := r.state.Apply(rec.Delta, r.hash)
	if hash != rec.Hash || !r.put(rec.Version, state, hash) {
		return Malformed
	}
	return Accepted
}

// put makes a version the one in force. A version never goes down, and never
// changes its content.
func (r *Replica) put(version uint64, state *State, hash Hash) bool {
	ok := r.checks.Check(version > r.version || version == r.version && hash == r.hash,
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

// FullState returns the whole replica, for a snapshot or a peer. It is nil while
// the replica is not known.
func (r *Replica) FullState() *FullState {
	if !r.known {
		return nil
	}
	return &FullState{
		Version:          r.version,
		Hash:             r.hash,
		State:            r.state,
		Through:          r.through,
		LastSnapshotTime: r.carried,
		Audit:            r.Audit(),
	}
}

// RecordsAfter returns the records after an offset, for a peer that follows this
// replica. It reports false if they are not all kept any more, or never were:
// the peer then needs the whole state.
func (r *Replica) RecordsAfter(offset infra.Offset) ([]infra.Record, bool) {
	if !r.known || offset > r.through {
		return nil, offset >= r.through
	}
	return r.recent.after(offset, r.through)
}
