package config

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/sleep"
)

// Timeouts and limits of reading the log and of following peers.
const (
	logPollWait    = 3 * time.Second        // long poll of the log
	peerPollWait   = 5 * time.Second        // long poll of a peer
	responseMargin = time.Second            // added to the wait of a long poll, for the response to arrive
	maxReadRecords = 256                    // in one read of the log
	retryDelay     = 500 * time.Millisecond // after a failed read or call
)

// MinStalenessLimit is the lowest limit that may be set on the staleness of the
// configuration. In a healthy fleet the staleness stays below the sum of
// logPollWait and peerPollWait.
const MinStalenessLimit = Duration(time.Minute)

// Caller calls RPC methods of peers; *peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Fleet holds what a Follower or a Viewer needs to reach the entries.
type Fleet struct {
	Self      infra.Instance
	Members   membership.Members
	Peers     Caller
	Retention time.Duration // time for which the log keeps records; 0 means DefaultRetention
}

// Follower keeps a Holder up to date from the log or from a peer, and renews the
// snapshot of the state in the log before it expires. Each entry runs one.
type Follower struct {
	log              infra.Log
	holder           *Holder
	onChange         func(*Snapshot)
	fleet            *Fleet // nil: no peers, always reads the log
	selector         *SourceSelector
	snapshotSchedule SnapshotSchedule

	mu         sync.Mutex
	replica    *Replica
	lastSync   time.Time     // when the state was last confirmed with the log; zero: never
	knownSince time.Time     // when the replica became known
	advanced   chan struct{} // closed and replaced when the replica advances

	stopped chan struct{} // closed when Run returns
}

// NewFollower returns a Follower of log that sets new versions in holder and
// then passes them to onChange, which may be nil and must not block.
func NewFollower(log infra.Log, holder *Holder, invariants *invariant.Set, onChange func(*Snapshot)) *Follower {
	return &Follower{
		log:              log,
		holder:           holder,
		onChange:         onChange,
		snapshotSchedule: SnapshotSchedule{Retention: DefaultRetention},
		replica:          NewReplica(invariants),
		advanced:         make(chan struct{}),
		stopped:          make(chan struct{}),
	}
}

// Join makes the follower share the reading of the log with the other entries of
// fleet: only some of them read the log. It must be called before Run.
func (f *Follower) Join(fleet Fleet) {
	f.fleet = &fleet
	f.selector = NewSourceSelector(fleet.Self)
	if fleet.Retention > 0 {
		f.snapshotSchedule.Retention = fleet.Retention
	}
}

// Run follows the log or a peer until ctx ends. It must be called once only. When
// it returns, the calls of waiting peers return at once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.stopped)
	f.startFromPeers(ctx)
	for ctx.Err() == nil {
		source := f.nextSource()
		if err := f.poll(ctx, source); err != nil {
			f.markFailed(source)
			sleep.For(ctx, retryDelay)
			continue
		}
		f.appendSnapshotIfDue(ctx)
		if !f.known() {
			f.startFromPeers(ctx)
		}
	}
}

func (f *Follower) nextSource() RecordSource {
	if f.fleet == nil {
		return RecordSource{Log: true}
	}
	return f.selector.Next(time.Now(), f.fleet.Members.Entries())
}

func (f *Follower) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Known()
}

func (f *Follower) markFailed(s RecordSource) {
	if f.selector != nil {
		f.selector.MarkFailed(time.Now(), s)
	}
}

func (f *Follower) poll(ctx context.Context, s RecordSource) error {
	if s.Log {
		return f.readLog(ctx, logPollWait)
	}
	return f.followPeer(ctx, s.Peer, peerPollWait)
}

// readLog reads the next records of the log, waiting up to wait for them, and
// applies them.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	start := time.Now()
	next, err := f.nextOffset(ctx)
	if err != nil {
		return err
	}
	records, err := f.log.Read(ctx, Stream, next, maxReadRecords, wait)
	var expired *infra.ExpiredError
	if errors.As(err, &expired) {
		f.setLogStart(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(records)
	if len(records) < maxReadRecords {
		f.recordSync(start)
	}
	return nil
}

// nextOffset returns the offset to read from. While the replica is not known, it
// first asks the log for its oldest record.
func (f *Follower) nextOffset(ctx context.Context) (infra.Offset, error) {
	f.mu.Lock()
	next, known := f.replica.NextOffset(), f.replica.Known()
	f.mu.Unlock()
	if known {
		return next, nil
	}
	oldest, _, err := f.log.Bounds(ctx, Stream)
	if err != nil {
		return 0, err
	}
	return f.setLogStart(oldest), nil
}

func (f *Follower) setLogStart(oldest infra.Offset) infra.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.replica.SetLogStart(oldest)
	f.updateKnownSince()
	return next
}

// updateKnownSince sets knownSince when the replica has become known. The caller
// holds the lock.
func (f *Follower) updateKnownSince() {
	if f.knownSince.IsZero() && f.replica.Known() {
		f.knownSince = time.Now()
	}
}

var errStalePeer = Errors.NewType("stale_peer").New("the state of the peer is not confirmed with the log, or was last confirmed more than %v ago", maxPeerAge)

// followPeer asks a peer for the records after those of the local replica, or for
// the complete state, waiting up to wait for them, and applies the reply.
func (f *Follower) followPeer(ctx context.Context, p infra.Instance, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	f.mu.Lock()
	args := FollowArgs{Through: f.replica.Through(), Known: f.replica.Known(), Wait: wait}
	f.mu.Unlock()
	start := time.Now()
	var reply FollowReply
	if err := f.fleet.Peers.Call(ctx, p.RPCAddr, MethodFollow, args, &reply); err != nil {
		return err
	}
	if err := f.applyReply(args, reply); err != nil {
		return err
	}
	if reply.Age != ageUnknown {
		f.recordSync(start.Add(-reply.Age))
	}
	if reply.Age == ageUnknown || reply.Age > maxPeerAge {
		return errStalePeer
	}
	return nil
}

// applyReply applies the reply to args. A reply with records or a state that do not
// advance the replica is an error, as the peer would send them again at once.
func (f *Follower) applyReply(args FollowArgs, reply FollowReply) error {
	if reply.Full == nil {
		f.apply(reply.Records)
	} else if err := f.applyFullState(reply.Full); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	advanced := f.replica.Through() > args.Through || f.replica.Known() != args.Known
	if !advanced && (reply.Full != nil || len(reply.Records) > 0) {
		return errNoProgress
	}
	return nil
}

// applyFullState restores the complete state of a peer from JSON.
func (f *Follower) applyFullState(b []byte) error {
	full := new(FullState)
	if err := json.Unmarshal(b, full); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.Restore(full) {
		f.publish()
	}
	return nil
}

var errNoProgress = Errors.NewType("useless_answer").New("the reply of the peer does not advance the local state")

func (f *Follower) apply(records []infra.Record) {
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

// publish sets the version of the replica in the holder if it is newer, and wakes
// the waiting calls. The caller holds the lock.
func (f *Follower) publish() {
	f.updateKnownSince()
	if v := f.replica.Version(); v > f.holder.Current().Version {
		snapshot := NewSnapshot(v, f.replica.State())
		snapshot.ChangeID = f.replica.LastChangeID()
		f.holder.Set(snapshot)
		if f.onChange != nil {
			f.onChange(snapshot)
		}
	}
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// ageUnknown is the age of a state that was never confirmed with the log.
const ageUnknown = time.Duration(-1)

// recordSync records that the state was confirmed with the log at t.
func (f *Follower) recordSync(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.lastSync) && f.replica.Known() {
		f.lastSync = t
	}
}

// age returns the time since the state was last confirmed with the log, or
// ageUnknown. The caller holds the lock.
func (f *Follower) age(now time.Time) time.Duration {
	if f.lastSync.IsZero() {
		return ageUnknown
	}
	return max(now.Sub(f.lastSync), 0)
}
