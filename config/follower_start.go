package config

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Limits on a start from peers.
const (
	startPeers   = 3               // peers asked
	startTimeout = 2 * time.Second // for all of them
)

// startFromPeers takes the furthest state among some peers, so that a start
// needs neither the log nor a replay of all that it keeps. Without an answer
// the log is read from its oldest record.
func (f *Follower) startFromPeers(ctx context.Context) {
	if f.fleet == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range f.startCandidates() {
		// A peer that fails to answer is passed over; the next one or the
		// log serves as well.
		_ = f.followPeer(ctx, p, 0)
	}
}

func (f *Follower) startCandidates() []infra.Instance {
	self := f.fleet.Self
	others := slices.DeleteFunc(slices.Clone(f.fleet.Members.Entries()), func(i infra.Instance) bool { return i.ID == self.ID })
	ranked := f.feed.order(membership.Rank(self.ID, others), false)
	return ranked[:min(len(ranked), startPeers)]
}

// carryForward appends the state in force once more if that is due here.
func (f *Follower) carryForward(ctx context.Context) {
	f.mu.Lock()
	full := f.replica.FullState()
	due := full != nil && full.Version > 0 &&
		f.carry.Due(time.Now(), f.carryRank(), f.replica.LastSnapshotTime(), f.since)
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
	// A failed append is tried again by Carry's own rule.
	_, _ = Append(ctx, f.log, rec)
}

// carryRank returns this entry's place among those that may carry the state
// forward.
func (f *Follower) carryRank() int {
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

// waitUntil waits until ready holds, checked with the lock held whenever the
// replica moves, but no longer than wait.
func (f *Follower) waitUntil(wait time.Duration, ready func() bool) {
	timeout := time.NewTimer(min(wait, maxPollWait))
	defer timeout.Stop()
	for {
		f.mu.Lock()
		ok := ready()
		moved := f.moved
		f.mu.Unlock()
		if ok || wait <= 0 {
			return
		}
		select {
		case <-moved:
		case <-timeout.C:
			return
		case <-f.stopped:
			return
		}
	}
}

// Status is what a Follower knows of its own state.
type Status struct {
	Known            bool         `json:"known"` // has a state to judge by
	Version          uint64       `json:"version"`
	Hash             Hash         `json:"hash"`
	Through          infra.Offset `json:"through"`          // last offset applied
	Age              Duration     `json:"age"`              // since the state was known to be the log's; -1ns: never
	LastSnapshotTime time.Time    `json:"carried,omitzero"` // last snapshot in the log
}

// Status returns what the follower knows of its state at now.
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

// Staleness returns for how long nothing was heard from the log, directly or
// through peers. Before the first word it counts from the zero time.
func (f *Follower) Staleness(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.fresh)
}

// Audit returns the accepted and rejected changes kept, oldest first.
func (f *Follower) Audit() []AuditEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Audit()
}
