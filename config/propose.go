package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"dandelionrelay/infra"
)

// Errors is the errorx namespace of this package.
var Errors = errorx.NewNamespace("config")

// Indeterminate is the type of the error that is returned if the verdict on a
// change is not known in time: the change may or may not take effect. The audit
// trail shows the verdict later under the ID of the change.
var Indeterminate = Errors.NewType("undecided", errorx.Temporary())

// StateUnknown is the type of the error that is returned if this process has no
// state yet that a change could be based on.
var StateUnknown = Errors.NewType("not_known", errorx.Temporary())

// BadBase is the type of the error that is returned if the base version of a
// change is higher than the version in force.
var BadBase = Errors.NewType("bad_base")

var unencodable = Errors.NewType("unencodable")

// NewChange returns the record of a change from the state from, which has the
// given hash and version base, to next. If id is empty, an ID is generated.
func NewChange(id string, base uint64, from *State, hash Hash, next *State, operator string, now time.Time) Record {
	delta := Diff(from, next)
	_, after := from.Apply(delta, hash)
	if id == "" {
		id = uuid.NewString()
	}
	return Record{
		Kind:     KindChange,
		ID:       id,
		Operator: operator,
		Time:     now,
		Base:     base,
		Version:  base + 1,
		Hash:     after,
		Delta:    delta,
	}
}

// Append appends rec to the log. After an Unavailable error the record may or
// may not be stored; appending the same record again has no further effect.
func Append(ctx context.Context, log infra.Log, rec Record) (infra.Offset, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return 0, unencodable.Wrap(err, "record %s", rec.ID)
	}
	return log.Append(ctx, Stream, rec.ID, b)
}

// Propose appends the change from version base to next and waits for the
// verdict, which is the same at all replicas. A change whose base is no longer
// in force is appended too, so that the rejected change is in the audit trail.
// The error is Indeterminate if ctx ends before the verdict is known. It is
// StateUnknown or BadBase if the change was not appended, as this process has no
// state or its version is lower than base.
func (f *Follower) Propose(ctx context.Context, base uint64, next *State, operator string) (AuditEntry, error) {
	return f.ProposeWithID(ctx, uuid.NewString(), base, next, operator)
}

// ProposeWithID is like Propose with a given ID of the change, so that the caller
// can retry after a lost response, also through another entry.
func (f *Follower) ProposeWithID(ctx context.Context, id string, base uint64, next *State, operator string) (AuditEntry, error) {
	return f.ProposeEdit(ctx, id, base, func(*State) *State { return next }, operator)
}

// Edit returns the state that a change makes of the one in force, or nil if there is
// nothing to change. It must not modify its argument.
type Edit func(inForce *State) *State

// ProposeEdit is like ProposeWithID with the state that edit makes of the one in force.
// If there is nothing to change, the entry has only the version in force.
func (f *Follower) ProposeEdit(ctx context.Context, id string, base uint64, edit Edit, operator string) (AuditEntry, error) {
	f.catchUp(ctx, base)
	f.mu.Lock()
	known, version := f.replica.Known(), f.replica.Version()
	earlier, decided := f.replica.AuditEntryByID(id)
	from, hash := f.replica.State(), f.replica.Hash()
	f.mu.Unlock()
	if decided {
		return earlier, nil
	}
	if !known {
		return AuditEntry{}, StateUnknown.New("no configuration known yet")
	}
	if base > version {
		return AuditEntry{}, BadBase.New("base version %d is not in force yet, this process has version %d", base, version)
	}
	next := edit(from)
	if next == nil {
		return AuditEntry{InForce: version}, nil
	}
	return f.appendUntilDecided(ctx, NewChange(id, base, from, hash, next, operator, time.Now()))
}

// appendUntilDecided appends a change, again if that was not confirmed, until its verdict
// is known or ctx ends.
func (f *Follower) appendUntilDecided(ctx context.Context, rec Record) (AuditEntry, error) {
	for {
		_, err := Append(ctx, f.log, rec)
		if entry, ok := f.awaitVerdict(ctx, rec.ID, err == nil); ok {
			return entry, nil
		}
		if ctx.Err() != nil {
			return AuditEntry{}, Indeterminate.Wrap(ctx.Err(), "change %s", rec.ID)
		}
	}
}

// catchUp reads the log if this process has not reached version base yet.
func (f *Follower) catchUp(ctx context.Context, base uint64) {
	status := f.Status(time.Now())
	if !status.Known || status.Version < base {
		// The error is ignored: ProposeWithID checks whether base was reached.
		_ = f.readLog(ctx, 0)
	}
}

// awaitVerdict reads the log until the replica has a verdict on the change with
// the given ID, even if this process usually follows a peer. stored says that
// the append was confirmed; if it was not, awaitVerdict returns false once the
// replica no longer advances.
func (f *Follower) awaitVerdict(ctx context.Context, id string, stored bool) (AuditEntry, bool) {
	for ctx.Err() == nil {
		f.mu.Lock()
		entry, ok := f.replica.AuditEntryByID(id)
		before := f.replica.Through()
		advanced := f.advanced
		f.mu.Unlock()
		if ok {
			return entry, true
		}
		if err := f.readLog(ctx, retryDelay); err != nil {
			f.waitAdvanced(ctx, advanced)
		}
		f.mu.Lock()
		unchanged := f.replica.Through() == before
		f.mu.Unlock()
		if unchanged && !stored {
			return AuditEntry{}, false
		}
	}
	return AuditEntry{}, false
}

// waitAdvanced waits until advanced is closed, for at most retryDelay.
func (f *Follower) waitAdvanced(ctx context.Context, advanced <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, retryDelay)
	defer cancel()
	select {
	case <-advanced:
	case <-ctx.Done():
	}
}
