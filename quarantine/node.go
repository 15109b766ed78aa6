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

// Stream is the log stream of the events.
const Stream = "quarantine"

// Times of a Node.
const (
	tick         = time.Second
	readInterval = 10 * time.Second // between reads of the log by a reader
	syncInterval = 30 * time.Second // between comparisons with a random peer
	callTimeout  = 500 * time.Millisecond
	readLimit    = 500 // records at once
	readers      = 2   // entries in a data centre that follow the log
)

// Caller calls RPC methods of peers; peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Deps is what a Node works with.
type Deps struct {
	ID         string // instance id of this entry
	DataCentre string
	Log        infra.Log
	Members    membership.Members
	Peers      Caller
	Logger     zerolog.Logger
}

// Node keeps the table of one entry in step with the other entries': events
// are told to peers at once and recorded in the log for entries to come. Run
// must run beside its use.
type Node struct {
	deps   Deps
	table  *Table
	outbox Outbox
	wake   chan struct{}

	mu   sync.Mutex
	next infra.Offset // of the log to read
}

// NewNode returns a Node with an empty table.
func NewNode(d Deps) *Node {
	return &Node{deps: d, table: NewTable(), wake: make(chan struct{}, 1), next: 1}
}

// Empty says that no request is suspected.
func (n *Node) Empty() bool { return n.table.Empty() }

// Verdict returns what is thought of d, a request of customer.
func (n *Node) Verdict(d Digest, customer string) Verdict {
	return n.table.Verdict(d, customer, time.Now())
}

// RecordCrash records a death.
func (n *Node) RecordCrash(x Crash) {
	if e, ok := n.table.RecordCrash(x, time.Now()); ok {
		n.spread([]Event{e}, true)
	}
}

// RecordSuccess clears d of the deaths held against it.
func (n *Node) RecordSuccess(d Digest) {
	if news := n.table.RecordSuccess(d, time.Now()); len(news) > 0 {
		n.spread(news, true)
	}
}

// spread queues events and wakes Run.
func (n *Node) spread(events []Event, own bool) {
	n.outbox.Add(events, own)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// merge takes in events and passes on the new ones.
func (n *Node) merge(events []Event, own bool) {
	var news []Event
	now := time.Now()
	for _, e := range events {
		if n.table.Merge(e, now) {
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		n.spread(news, own)
	}
}

// Run spreads events until ctx ends. It starts by taking over what the log and
// a peer hold.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	started := false
	var read, synced time.Time
	for ctx.Err() == nil {
		now := time.Now()
		n.tell(ctx)
		n.append(ctx, now)
		if now.Sub(read) >= readInterval && (!started || n.reader()) {
			started = n.readOn(ctx) == nil || started
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

// tell sends queued events to a few peers.
func (n *Node) tell(ctx context.Context) {
	events := n.outbox.TakeForPeers()
	if len(events) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, p := range n.somePeers(Fanout) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = n.deps.Peers.Call(ctx, p.RPCAddr, MethodTell, TellArgs{Events: events}, &TellReply{})
		})
	}
	wg.Wait()
}

// append records queued events in the log. A lost answer costs a second
// record, which merges to nothing.
func (n *Node) append(ctx context.Context, now time.Time) {
	events := n.outbox.TakeForLog(now)
	if len(events) == 0 {
		return
	}
	data, err := json.Marshal(events)
	if err != nil {
		n.deps.Logger.Error().Err(err).Msg("quarantine: encode events")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.deps.Log.Append(ctx, Stream, uuid.NewString(), data); err != nil {
		n.outbox.RequeueForLog(events)
		n.deps.Logger.Warn().Err(err).Msg("quarantine: append events")
	}
}

// readOn merges the records of the log that were not read yet.
func (n *Node) readOn(ctx context.Context) error {
	for {
		records, err := n.deps.Log.Read(ctx, Stream, n.position(), readLimit, 0)
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
	return n.next
}

func (n *Node) advance(to infra.Offset) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next = max(n.next, to)
}

// sync takes over what a random peer holds, if its table differs.
func (n *Node) sync(ctx context.Context) {
	for _, p := range n.somePeers(1) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply SyncReply
		if n.deps.Peers.Call(ctx, p.RPCAddr, MethodSync, SyncArgs{Sum: n.table.Checksum()}, &reply) == nil {
			n.merge(reply.Events, false)
		}
	}
}

// reader says that this entry follows the log for its data centre.
func (n *Node) reader() bool {
	var local []infra.Instance
	for _, e := range n.deps.Members.Entries() {
		if e.DataCentre == n.deps.DataCentre && e.State == infra.Live {
			local = append(local, e)
		}
	}
	for i, e := range membership.Rank(Stream, local) {
		if e.ID == n.deps.ID {
			return i < readers
		}
	}
	return true
}

// somePeers returns up to max random entries other than this one.
func (n *Node) somePeers(max int) []infra.Instance {
	entries := n.deps.Members.Entries()
	var out []infra.Instance
	for _, i := range rand.Perm(len(entries)) {
		if entries[i].ID != n.deps.ID && len(out) < max {
			out = append(out, entries[i])
		}
	}
	return out
}
