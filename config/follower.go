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

// Times and sizes of following the log and peers.
const (
	readWait   = 3 * time.Second        // long poll at the log
	followWait = 5 * time.Second        // long poll at a peer
	callMargin = time.Second            // added to a wait for the answer to arrive
	readBatch  = 256                    // records in one read
	retryPause = 500 * time.Millisecond // after a failed read
)

// MinStalenessLimit is the least bound that may be set on the time without word
// from the log. In a healthy fleet that time stays below a reader's and a
// follower's poll together.
const MinStalenessLimit = Duration(time.Minute)

// Caller calls RPC methods of peers; *peer.Pool is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Fleet is what a Follower needs to know of the other entries.
type Fleet struct {
	Self      infra.Instance
	Members   membership.Members
	Peers     Caller
	Retention time.Duration // of the log; 0 means DefaultRetention
}

// Follower keeps a Holder up to date from the log or from a peer, and carries
// the state forward in the log. Entries run one each.
type Follower struct {
	log      infra.Log
	holder   *Holder
	onChange func(*Snapshot)
	fleet    *Fleet // nil: alone, always reads the log
	feed     *SourceSelector
	carry    SnapshotSchedule

	mu      sync.Mutex
	replica *Replica
	fresh   time.Time     // when the state was known to be the log's; zero: never
	since   time.Time     // when the state became known
	moved   chan struct{} // closed when the replica has moved

	stopped chan struct{} // closed when Run has ended
}

// NewFollower returns a Follower of log that puts new versions into holder
// and then hands them to onChange, which may be nil and must not block.
func NewFollower(log infra.Log, holder *Holder, checks *invariant.Set, onChange func(*Snapshot)) *Follower {
	return &Follower{
		log:      log,
		holder:   holder,
		onChange: onChange,
		carry:    SnapshotSchedule{Retention: DefaultRetention},
		replica:  NewReplica(checks),
		moved:    make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// Join makes the follower share the reading of the log with other entries. It
// is called before Run.
func (f *Follower) Join(fleet Fleet) {
	f.fleet = &fleet
	f.feed = NewSourceSelector(fleet.Self)
	if fleet.Retention > 0 {
		f.carry.Retention = fleet.Retention
	}
}

// Run follows the log or a peer until ctx ends, once. Peers that wait for
// something new are then answered at once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.stopped)
	f.startFromPeers(ctx)
	for ctx.Err() == nil {
		source := f.source()
		if err := f.poll(ctx, source); err != nil {
			f.failed(source)
			sleep.For(ctx, retryPause)
			continue
		}
		f.carryForward(ctx)
		if !f.known() {
			f.startFromPeers(ctx)
		}
	}
}

func (f *Follower) source() RecordSource {
	if f.fleet == nil {
		return RecordSource{Log: true}
	}
	return f.feed.Next(time.Now(), f.fleet.Members.Entries())
}

func (f *Follower) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Known()
}

func (f *Follower) failed(s RecordSource) {
	if f.feed != nil {
		f.feed.MarkFailed(time.Now(), s)
	}
}

func (f *Follower) poll(ctx context.Context, s RecordSource) error {
	if s.Log {
		return f.readLog(ctx, readWait)
	}
	return f.followPeer(ctx, s.Peer, followWait)
}

// readLog reads the next records of the log and applies them.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	asked := time.Now()
	next, err := f.nextOffset(ctx)
	if err != nil {
		return err
	}
	records, err := f.log.Read(ctx, Stream, next, readBatch, wait)
	var expired *infra.ExpiredError
	if errors.As(err, &expired) {
		f.start(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(records)
	if len(records) < readBatch {
		f.freshAt(asked)
	}
	return nil
}

// nextOffset returns where to read on. A follower that does not know the
// state first learns what the log still keeps.
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
	return f.start(oldest), nil
}

func (f *Follower) start(oldest infra.Offset) infra.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.replica.SetLogStart(oldest)
	f.noteKnown()
	return next
}

// noteKnown notes when the state became known. The caller holds the lock.
func (f *Follower) noteKnown() {
	if f.since.IsZero() && f.replica.Known() {
		f.since = time.Now()
	}
}

var errStalePeer = Errors.NewType("stale_peer").New("the peer has not heard from the log for long")

// followPeer asks a peer for what is new and applies it.
func (f *Follower) followPeer(ctx context.Context, p infra.Instance, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	f.mu.Lock()
	args := FollowArgs{Through: f.replica.Through(), Known: f.replica.Known(), Wait: wait}
	f.mu.Unlock()
	asked := time.Now()
	var reply FollowReply
	if err := f.fleet.Peers.Call(ctx, p.RPCAddr, MethodFollow, args, &reply); err != nil {
		return err
	}
	if err := f.applyReply(args, reply); err != nil {
		return err
	}
	if reply.Age != ageUnknown {
		f.freshAt(asked.Add(-reply.Age))
	}
	if reply.Age == ageUnknown || reply.Age > peerStaleAfter {
		return errStalePeer
	}
	return nil
}

// applyReply applies the answer to args. An answer that cannot be used is an
// error, as a peer would give it again at once.
func (f *Follower) applyReply(args FollowArgs, reply FollowReply) error {
	if reply.Full == nil {
		f.apply(reply.Records)
	} else if err := f.applyFull(reply.Full); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	moved := f.replica.Through() > args.Through || f.replica.Known() != args.Known
	if !moved && (reply.Full != nil || len(reply.Records) > 0) {
		return errUseless
	}
	return nil
}

// applyFull takes the whole state of a peer.
func (f *Follower) applyFull(b []byte) error {
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

var errUseless = Errors.NewType("useless_answer").New("the peer's answer does not lead on from the state here")

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

// publish puts the replica's version into the holder and wakes those who
// wait. The caller holds the lock.
func (f *Follower) publish() {
	f.noteKnown()
	if v := f.replica.Version(); v > f.holder.Current().Version {
		snapshot := NewSnapshot(v, f.replica.State())
		snapshot.ChangeID = f.replica.LastChangeID()
		f.holder.Set(snapshot)
		if f.onChange != nil {
			f.onChange(snapshot)
		}
	}
	close(f.moved)
	f.moved = make(chan struct{})
}

// ageUnknown is the age of a state that was never known to be the log's.
const ageUnknown = time.Duration(-1)

func (f *Follower) freshAt(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.fresh) && f.replica.Known() {
		f.fresh = t
	}
}

// age returns the time since the state was known to be the log's. The caller
// holds the lock.
func (f *Follower) age(now time.Time) time.Duration {
	if f.fresh.IsZero() {
		return ageUnknown
	}
	return max(now.Sub(f.fresh), 0)
}
