package config

import (
	"context"
	"errors"
	"sync"
	"time"

	"dandelionrelay/invariant"
	"dandelionrelay/platform"
)

// Times and sizes of following the log.
const (
	readWait   = 20 * time.Second       // long poll at the log
	readBatch  = 256                    // records in one read
	retryPause = 500 * time.Millisecond // after a failed read
)

// Follower replays the configuration stream and keeps a Holder up to date.
type Follower struct {
	log      platform.Log
	holder   *Holder
	onChange func(*Snapshot)

	mu      sync.Mutex
	replica *Replica
	moved   chan struct{} // closed when the replica has moved
}

// NewFollower returns a Follower of log that puts new versions into holder
// and then hands them to onChange, which may be nil.
func NewFollower(log platform.Log, holder *Holder, checks *invariant.Set, onChange func(*Snapshot)) *Follower {
	return &Follower{
		log:      log,
		holder:   holder,
		onChange: onChange,
		replica:  NewReplica(checks),
		moved:    make(chan struct{}),
	}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx, readWait); err != nil {
			pause(ctx, retryPause)
		}
	}
}

// readOnce reads the next records and applies them.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	next := f.replica.Next()
	known := f.replica.Known()
	f.mu.Unlock()
	if !known {
		oldest, _, err := f.log.Bounds(ctx, Stream)
		if err != nil {
			return err
		}
		next = f.start(oldest)
	}
	records, err := f.log.Read(ctx, Stream, next, readBatch, wait)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		f.start(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(records)
	return nil
}

func (f *Follower) start(oldest platform.Offset) platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Start(oldest)
}

func (f *Follower) apply(records []platform.Record) {
	if len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.replica.Apply(r)
	}
	f.publish()
}

// publish puts the replica's version into the holder and wakes those who
// wait. The caller holds the lock.
func (f *Follower) publish() {
	if v := f.replica.Version(); v > f.holder.Current().Version {
		snapshot := NewSnapshot(v, f.replica.State())
		f.holder.Set(snapshot)
		if f.onChange != nil {
			f.onChange(snapshot)
		}
	}
	close(f.moved)
	f.moved = make(chan struct{})
}

// Propose appends the change from the version base to next and waits for the
// verdict. The error is Undecided if ctx ends before that.
func (f *Follower) Propose(ctx context.Context, base uint64, next *State, operator string) (AuditEntry, error) {
	f.mu.Lock()
	rec := NewChange(base, f.replica.State(), f.replica.Hash(), next, operator, time.Now())
	f.mu.Unlock()
	for {
		_, err := Append(ctx, f.log, rec)
		wait := retryPause
		if err == nil {
			wait = readWait
		}
		if entry, ok := f.await(ctx, rec.ID, wait); ok {
			return entry, nil
		}
		if ctx.Err() != nil {
			return AuditEntry{}, Undecided.Wrap(ctx.Err(), "change %s", rec.ID)
		}
	}
}

// await waits for the verdict on a change.
func (f *Follower) await(ctx context.Context, id string, wait time.Duration) (AuditEntry, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		entry, ok := f.replica.VerdictOn(id)
		moved := f.moved
		f.mu.Unlock()
		if ok {
			return entry, true
		}
		select {
		case <-moved:
		case <-timeout.C:
			return AuditEntry{}, false
		case <-ctx.Done():
			return AuditEntry{}, false
		}
	}
}

// Audit returns the accepted and rejected changes kept, oldest first.
func (f *Follower) Audit() []AuditEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Audit()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
