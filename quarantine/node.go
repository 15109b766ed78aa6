package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Stream is the log stream that holds the events.
const Stream = "quarantine"

// Intervals and limits of a Node.
const (
	tickInterval   = time.Second            // between rounds of Run without a new event
	readInterval   = 10 * time.Second       // between reads of the log by a log reader
	syncInterval   = 30 * time.Second       // between comparisons of the table with that of a random peer
	callTimeout    = 500 * time.Millisecond // of one call to a peer or one append to the log
	maxReadRecords = 500                    // records in one read
	maxLogReaders  = 2                      // entries of a data centre that read the log
)

// Caller calls RPC methods of peers. peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Deps are the dependencies of a Node.
type Deps struct {
	ID         string // instance ID of this entry
	DataCentre string
	Log        infra.Log
	Members    membership.Members
	Peers      Caller
	Logger     zerolog.Logger
}

// Node holds the table of one entry and replicates it among the entries of the
// fleet. Events are sent to peers at once, and appended to the log for entries
// that start later. Run must run concurrently with the other methods. Node
// implements Tracker.
type Node struct {
	deps   Deps
	table  *Table
	outbox Outbox
	wake   chan struct{}

	mu         sync.Mutex
	nextOffset infra.Offset // of the next record of the log to read
}

// NewNode returns a Node with an empty table.
func NewNode(d Deps) *Node {
	return &Node{deps: d, table: NewTable(), wake: make(chan struct{}, 1), nextOffset: 1}
}

// Empty reports whether no request has crashes recorded against it.
func (n *Node) Empty() bool { return n.table.Empty() }

// Verdict returns the verdict on request d of customer.
func (n *Node) Verdict(d Digest, customer string) Verdict {
	return n.table.Verdict(d, customer, time.Now())
}

// RecordCrash records a crash and replicates it, unless it is part of a mass
// loss and accuses no prompt part.
func (n *Node) RecordCrash(c Crash) {
	if events := n.table.recordAll(c, time.Now()); len(events) > 0 {
		n.enqueue(events, true)
	}
}

// PartsQuarantined implements Tracker.
func (n *Node) PartsQuarantined(parts []string) bool {
	return n.table.PartsQuarantined(parts, time.Now())
}

// RecordSoundParts implements Tracker.
func (n *Node) RecordSoundParts(parts []string) {
	if cleared := n.table.RecordSoundParts(parts, time.Now()); len(cleared) > 0 {
		n.enqueue(cleared, true)
	}
}

// RecordSuccess clears d of its crashes and replicates that.
func (n *Node) RecordSuccess(d Digest) {
	if cleared := n.table.RecordSuccess(d, time.Now()); len(cleared) > 0 {
		n.enqueue(cleared, true)
	}
}

// enqueue queues events for peers and, if they arose at this entry, for the log,
// and wakes Run.
func (n *Node) enqueue(events []Event, local bool) {
	n.outbox.Add(events, local)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// merge merges events into the table and enqueues those that changed it.
func (n *Node) merge(events []Event, local bool) {
	var changed []Event
	now := time.Now()
	for _, e := range events {
		if n.table.Merge(e, now) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		n.enqueue(changed, local)
	}
}

// Run replicates events until ctx is cancelled. It starts by loading the events
// of the log and of one peer.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	loaded := false
	var read, synced time.Time
	for ctx.Err() == nil {
		now := time.Now()
		n.sendToPeers(ctx)
		n.appendToLog(ctx, now)
		if now.Sub(read) >= readInterval && (!loaded || n.isLogReader()) {
			loaded = n.readNew(ctx) == nil || loaded
			read = now
		}
		if now.Sub(synced) >= syncInterval {
			n.sync(ctx)
			n.table.Expire(now)
			synced = now
		}
		select {
		case <-ticker.C:
		case <-n.wake:
		case <-ctx.Done():
		}
	}
}

// sendToPeers sends the queued events to up to Fanout random peers. Failed calls
// are ignored: sync and the log repair what is missing.
func (n *Node) sendToPeers(ctx context.Context) {
	events := n.outbox.TakeForPeers()
	if len(events) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, p := range n.randomPeers(Fanout) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = n.deps.Peers.Call(ctx, p.RPCAddr, MethodTell, TellArgs{Events: events}, &TellReply{})
		})
	}
	wg.Wait()
}

// appendToLog appends the queued events to the log. If the response to an append
// is lost, the events are appended twice; the second record changes no table.
func (n *Node) appendToLog(ctx context.Context, now time.Time) {
	events := n.outbox.TakeForLog(now)
	if len(events) == 0 {
		return
	}
	data, err := json.Marshal(events)
	if err != nil {
		n.deps.Logger.Error().Err(err).Msg("quarantine: failed to encode events; they are not appended to the log")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.deps.Log.Append(ctx, Stream, uuid.NewString(), data); err != nil {
		n.outbox.RequeueForLog(events)
		n.deps.Logger.Warn().Err(err).Msg("quarantine: failed to append events to the log; will retry")
	}
}

// readNew reads the log from nextOffset to its end and merges the events. If
// records have expired, it continues at the oldest one that is left.
func (n *Node) readNew(ctx context.Context) error {
	for {
		records, err := n.deps.Log.Read(ctx, Stream, n.position(), maxReadRecords, 0)
		var expired *infra.ExpiredError
		if errors.As(err, &expired) {
			n.advance(expired.Oldest)
			continue
		}
		if err != nil || len(records) == 0 {
			return err
		}
		for _, r := range records {
			var events []Event
			if json.Unmarshal(r.Data, &events) == nil {
				n.merge(events, false)
			}
			n.advance(r.Offset + 1)
		}
	}
}

func (n *Node) position() infra.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nextOffset
}

func (n *Node) advance(to infra.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextOffset = max(n.nextOffset, to)
}

// sync merges the events of a random peer if its table differs from this one.
func (n *Node) sync(ctx context.Context) {
	for _, p := range n.randomPeers(1) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply SyncReply
		if n.deps.Peers.Call(ctx, p.RPCAddr, MethodSync, SyncArgs{Sum: n.table.Checksum()}, &reply) == nil {
			n.merge(reply.Events, false)
		}
	}
}

// isLogReader reports whether this entry reads the log for its data centre.
// Entries that do not read the log get its events from peers. An entry that is
// not listed as live reads the log too.
func (n *Node) isLogReader() bool {
	var local []infra.Instance
	for _, e := range n.deps.Members.Entries() {
		if e.DataCentre == n.deps.DataCentre && e.State == infra.Live {
			local = append(local, e)
		}
	}
	for i, e := range membership.Rank(Stream, local) {
		if e.ID == n.deps.ID {
			return i < maxLogReaders
		}
	}
	return true
}

// randomPeers returns up to max randomly chosen entries other than this one.
func (n *Node) randomPeers(max int) []infra.Instance {
	entries := n.deps.Members.Entries()
	var out []infra.Instance
	for _, i := range rand.Perm(len(entries)) {
		if entries[i].ID != n.deps.ID && len(out) < max {
			out = append(out, entries[i])
		}
	}
	return out
}
