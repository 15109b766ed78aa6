package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"dandelionrelay/infra"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("config")

// Indeterminate says that the log did not answer in time: the change may or may
// not take effect. Its id tells later, in the audit trail.
var Indeterminate = Errors.NewType("undecided", errorx.Temporary())

// StateUnknown says that this process has no state yet to change.
var StateUnknown = Errors.NewType("not_known", errorx.Temporary())

// BadBase says that the base version of a change lies in the future.
var BadBase = Errors.NewType("bad_base")

var unencodable = Errors.NewType("unencodable")

// NewChange returns the record of the change from the state at version base,
// whose hash is given, to next. An empty id means a new one.
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

// Append appends rec to the log. After an Unavailable error it may be stored
// or not; appending the same record again is harmless.
func Append(ctx context.Context, log infra.Log, rec Record) (infra.Offset, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return 0, unencodable.Wrap(err, "record %s", rec.ID)
	}
	return log.Append(ctx, Stream, rec.ID, b)
}

// Propose appends the change from version base to next and waits for the
// verdict that all readers reach alike. A base that is no longer in force is
// appended too, so that the rejected change is in the audit trail. The error
// is Undecided if ctx ends before the verdict is known.
func (f *Follower) Propose(ctx context.Context, base uint64, next *State, operator string) (AuditEntry, error) {
	return f.ProposeWithID(ctx, uuid.NewString(), base, next, operator)
}

// ProposeWithID is Propose with the id of the change, so that it can be repeated
// after a lost answer, also through another entry.
func (f *Follower) ProposeWithID(ctx context.Context, id string, base uint64, next *State, operator string) (AuditEntry, error) {
	f.catchUp(ctx, base)
	f.mu.Lock()
	known, version := f.replica.Known(), f.replica.Version()
	earlier, decided := f.replica.AuditEntryByID(id)
	rec := NewChange(id, base, f.replica.State(), f.replica.Hash(), next, operator, time.Now())
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
	for {
		_, err := Append(ctx, f.log, rec)
		if entry, ok := f.settle(ctx, rec.ID, err == nil); ok {
			return entry, nil
		}
		if ctx.Err() != nil {
			return AuditEntry{}, Indeterminate.Wrap(ctx.Err(), "change %s", rec.ID)
		}
	}
}

// catchUp reads the log if base is not known here yet.
func (f *Follower) catchUp(ctx context.Context, base uint64) {
	status := f.Status(time.Now())
	if !status.Known || status.Version < base {
		// If the log is down, the append that follows says so.
		_ = f.readLog(ctx, 0)
	}
}

// settle reads the log on for the verdict on a change, whoever else follows
// it. If it is not sure that the change was stored, it gives up once nothing
// more is there.
func (f *Follower) settle(ctx context.Context, id string, stored bool) (AuditEntry, bool) {
	for ctx.Err() == nil {
		f.mu.Lock()
		entry, ok := f.replica.AuditEntryByID(id)
		before := f.replica.Through()
		moved := f.moved
		f.mu.Unlock()
		if ok {
			return entry, true
		}
		if err := f.readLog(ctx, retryPause); err != nil {
			f.waitMoved(ctx, moved)
		}
		f.mu.Lock()
		idle := f.replica.Through() == before
		f.mu.Unlock()
		if idle && !stored {
			return AuditEntry{}, false
		}
	}
	return AuditEntry{}, false
}

// waitMoved waits until the replica moved by other means, or a pause.
func (f *Follower) waitMoved(ctx context.Context, moved <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	select {
	case <-moved:
	case <-ctx.Done():
	}
}
