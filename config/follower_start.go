package config

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Limits of startFromPeers.
const (
	maxStartPeers = 3               // peers that are asked
	startTimeout  = 2 * time.Second // for all peers together
)

// startFromPeers restores the most recent state among up to maxStartPeers peers,
// so that a start needs neither the log nor a replay of all its records. If no
// peer responds, the log is read from its oldest record.
func (f *Follower) startFromPeers(ctx context.Context) {
	if f.fleet == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range f.startCandidates() {
		// A peer that fails is skipped; the next one or the log can provide the
		// state instead.
		_ = f.followPeer(ctx, p, 0)
	}
}

func (f *Follower) startCandidates() []infra.Instance {
	self := f.fleet.Self
	others := slices.DeleteFunc(slices.Clone(f.fleet.Members.Entries()), func(i infra.Instance) bool { return i.ID == self.ID })
	ranked := f.selector.orderPeers(membership.Rank(self.ID, others), false)
	return ranked[:min(len(ranked), maxStartPeers)]
}

// appendSnapshotIfDue appends a snapshot of the state in force to the log if the
// schedule of this entry says so.
func (f *Follower) appendSnapshotIfDue(ctx context.Context) {
	f.mu.Lock()
	full := f.replica.FullState()
	due := full != nil && full.Version > 0 &&
		f.snapshotSchedule.Due(time.Now(), f.snapshotRank(), f.replica.LastSnapshotTime(), f.knownSince)
	f.mu.Unlock()
	if !due {
		return
	}
	rec := Record{
		Kind:    KindSnapshot,
		ID:      uuid.NewString(),
		Time:    time.Now(),
		Version: full.Version,
		Hash:    full.Hash,
		Full:    full,
	}
	// After a failed append, the schedule is due again after its retry interval.
	_, _ = Append(ctx, f.log, rec)
}

// snapshotRank returns the rank of this entry, from 0, among the entries that may
// append a snapshot.
func (f *Follower) snapshotRank() int {
	if f.fleet == nil {
		return 0
	}
	ranked := membership.Rank("config-carry", f.fleet.Members.Entries())
	for i, m := range ranked {
		if m.ID == f.fleet.Self.ID {
			return i
		}
	}
	return len(ranked)
}

// waitUntil waits until ready returns true or Run returns, for at most the shorter
// of wait and maxPollWait. It calls ready with the lock held, at first and whenever
// the replica advances.
func (f *Follower) waitUntil(wait time.Duration, ready func() bool) {
	timeout := time.NewTimer(min(wait, maxPollWait))
	defer timeout.Stop()
	for {
		f.mu.Lock()
		ok := ready()
		advanced := f.advanced
		f.mu.Unlock()
		if ok || wait <= 0 {
			return
		}
		select {
		case <-advanced:
		case <-timeout.C:
			return
		case <-f.stopped:
			return
		}
	}
}

// Status is the status of a Follower.
type Status struct {
	Known            bool         `json:"known"` // has a state that changes can be applied to
	Version          uint64       `json:"version"`
	Hash             Hash         `json:"hash"`
	Through          infra.Offset `json:"through"`          // last offset applied or pending
	Age              Duration     `json:"age"`              // since the state was last confirmed with the log; -1ns: never
	LastSnapshotTime time.Time    `json:"carried,omitzero"` // when the last snapshot was appended to the log
}

// Status returns the status of the follower at now.
func (f *Follower) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		Known:            f.replica.Known(),
		Version:          f.replica.Version(),
		Hash:             f.replica.Hash(),
		Through:          f.replica.Through(),
		Age:              Duration(f.age(now)),
		LastSnapshotTime: f.replica.LastSnapshotTime(),
	}
}

// Staleness returns the time since the state was last confirmed with the log,
// directly or through peers. If it never was, it counts from the zero time.
func (f *Follower) Staleness(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastSync)
}

// Audit returns the accepted and rejected changes kept, oldest first.
func (f *Follower) Audit() []AuditEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Audit()
}
