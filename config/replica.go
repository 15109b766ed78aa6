package config

import (
	"encoding/json"
	"slices"

	"dandelionrelay/invariant"
	"dandelionrelay/platform"
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
	through platform.Offset
	trail   *trail

	first   platform.Offset   // first offset held back, while not known
	held    []platform.Record // changes from first on, while not known
	carried platform.Record   // last snapshot seen, without its data
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

// Next returns the offset that is to be applied next.
func (r *Replica) Next() platform.Offset { return r.through + 1 }

// Audit returns the accepted and rejected changes kept, oldest first.
func (r *Replica) Audit() []AuditEntry { return slices.Clone(r.trail.entries) }

// VerdictOn returns the verdict on the change with the given id.
func (r *Replica) VerdictOn(id string) (AuditEntry, bool) {
	if _, ok := r.trail.byID[id]; !ok {
		return AuditEntry{}, false
	}
	for i := len(r.trail.entries) - 1; i >= 0; i-- {
		if r.trail.entries[i].ID == id {
			return r.trail.entries[i], true
		}
	}
	return AuditEntry{}, false
}

// Start says from which offset records will come: the oldest one that the log
// keeps, or Next if nothing was missed. It returns the offset to read from.
func (r *Replica) Start(oldest platform.Offset) platform.Offset {
	if oldest <= r.Next() {
		if oldest == 1 && r.through == 0 {
			r.known = true
		}
		return r.Next()
	}
	// Records were missed. What is in force stays so, but nothing can be
	// judged until a snapshot or a peer tells what was missed.
	r.known = false
	r.held = nil
	r.first = oldest
	r.through = oldest - 1
	return oldest
}

// Apply decides on one record. Offsets already applied are ignored.
func (r *Replica) Apply(raw platform.Record) Verdict {
	if raw.Offset <= r.through {
		return Ignored
	}
	r.through = raw.Offset
	var rec Record
	if err := json.Unmarshal(raw.Data, &rec); err != nil {
		rec = Record{ID: raw.ID}
	}
	if rec.Kind == KindSnapshot {
		return r.applySnapshot(raw, rec)
	}
	if !r.known {
		r.held = append(r.held, raw)
		return Pending
	}
	return r.applyChange(raw, rec)
}

func (r *Replica) applySnapshot(raw platform.Record, rec Record) Verdict {
	if rec.Full == nil || rec.Full.State == nil {
		return Malformed
	}
	if r.known {
		r.checks.Check(rec.Full.Version <= r.version, invariant.ConfigNeverReverts,
			"snapshot at offset %d has version %d, in force is %d", raw.Offset, rec.Full.Version, r.version)
		r.noteCarried(raw)
		return Ignored
	}
	// A snapshot made before the first record held back leaves a gap.
	if rec.Full.Through+1 < r.first || !r.take(rec.Full) {
		return Ignored
	}
	r.through = raw.Offset
	r.noteCarried(raw)
	return Accepted
}

func (r *Replica) noteCarried(raw platform.Record) {
	raw.Data = nil
	r.carried = raw
}

// Restore takes the state of a peer, if it is further on and its hash is
// right. It reports whether it did.
func (r *Replica) Restore(full *Full) bool {
	if r.known && full.Through <= r.through {
		return false
	}
	if !r.known && full.Through+1 < r.first {
		return false
	}
	through := r.through
	if !r.take(full) {
		return false
	}
	r.through = max(through, full.Through)
	return true
}

// take puts the state of full in force, and then the changes held back that
// came after it.
func (r *Replica) take(full *Full) bool {
	if full.State == nil || full.Version < r.version || HashOf(full.State) != full.Hash {
		return false
	}
	r.known = true
	r.put(full.Version, full.State, full.Hash)
	r.trail = newTrail(full.Audit)
	held := r.held
	r.held = nil
	for _, raw := range held {
		if raw.Offset <= full.Through {
			continue
		}
		var rec Record
		if err := json.Unmarshal(raw.Data, &rec); err != nil {
			rec = Record{ID: raw.ID}
		}
		r.applyChange(raw, rec)
	}
	return true
}

func (r *Replica) applyChange(raw platform.Record, rec Record) Verdict {
	if _, seen := r.trail.byID[rec.ID]; seen {
		return Ignored
	}
	verdict := r.judge(rec)
	entry := AuditEntry{
		Offset:   raw.Offset,
		Time:     raw.Time,
		ID:       rec.ID,
		Operator: rec.Operator,
		Base:     rec.Base,
		Version:  rec.Version,
		Verdict:  verdict,
		InForce:  r.version,
		Delta:    rec.Delta,
		Bytes:    len(raw.Data),
	}
	if verdict == Conflict {
		entry.Winner = r.trail.byBase[rec.Base]
	}
	r.trail.add(entry)
	return verdict
}

// judge puts the change in force if it may be.
func (r *Replica) judge(rec Record) Verdict {
	if rec.Kind != KindChange || rec.Delta == nil || rec.ID == "" || rec.Version != rec.Base+1 {
		return Malformed
	}
	if rec.Base != r.version {
		return Conflict
	}
	state, hash := r.state.Apply(rec.Delta, r.hash)
	if hash != rec.Hash {
		return Malformed
	}
	r.put(rec.Version, state, hash)
	return Accepted
}

func (r *Replica) put(version uint64, state *State, hash Hash) {
	if !r.checks.Check(version >= r.version, invariant.ConfigNeverReverts,
		"version %d would follow %d", version, r.version) {
		return
	}
	r.version = version
	r.state = state
	r.hash = hash
}

// Full returns the whole replica, for a snapshot or a peer. It is nil while
// the replica is not known.
func (r *Replica) Full() *Full {
	if !r.known {
		return nil
	}
	return &Full{Version: r.version, Hash: r.hash, State: r.state, Through: r.through, Audit: r.Audit()}
}
