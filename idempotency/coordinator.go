package idempotency

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

const (
	maxReadRecords = 500                    // records in one read
	logTimeout     = 2 * time.Second        // for one operation on the log
	retryBackoff   = 100 * time.Millisecond // between attempts to append a record
	maxQueued      = 10_000                 // events of one stream queued for the log
)

// coordinator reads one stream and appends to it. It is safe for concurrent use.
type coordinator struct {
	stream     string
	log        infra.Log
	window     time.Duration
	invariants *invariant.Set

	lifetime context.Context // cancelled when the entry stops

	// readLock holds a value while a goroutine reads the stream. It is a
	// channel and not a mutex so that a context can end the wait for it.
	readLock chan struct{}

	mu       sync.Mutex
	table    *Table // nil until initTable has succeeded, and after reset
	queue    CommitQueue
	waiters  map[string]chan struct{} // by token of a begin that is queued or being appended; closed once its offset is known
	flushing bool
}

func newCoordinator(lifetime context.Context, stream string, log infra.Log, window time.Duration, invariants *invariant.Set) *coordinator {
	return &coordinator{
		stream: stream, log: log, window: window, invariants: invariants, lifetime: lifetime,
		readLock: make(chan struct{}, 1),
		waiters:  make(map[string]chan struct{}),
	}
}

// begin decides which token runs the call of e, which is a Begin. It returns
// Refused or Indeterminate if that can't be decided: ctx is cancelled, the entry
// stops, the log can't be read, or the queue or the table is full. It never voids
// the token, since its holder may have sent the begin to another coordinator too
// and be running the call.
func (c *coordinator) begin(ctx context.Context, e Event) (Verdict, *Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.lifetime, cancel)()
	if v := c.existingVerdict(ctx, e); v != NotBegun {
		return c.reply(ctx, v, e)
	}
	done, ok := c.enqueue(e)
	if !ok {
		return Refused, nil
	}
	select {
	case <-done:
		return c.reply(ctx, c.lookup(e), e)
	case <-ctx.Done():
	}
	if c.removeBegin(e.Token) {
		return Refused, nil
	}
	return Indeterminate, nil
}

// existingVerdict returns the verdict on e if it can be decided without
// appending a record, else NotBegun. It reads the new records of the stream
// unless the response is known already.
func (c *coordinator) existingVerdict(ctx context.Context, e Event) Verdict {
	if c.lookup(e) == Answered {
		return Answered
	}
	if c.readNew(ctx) != nil {
		return Refused
	}
	return c.lookup(e)
}

// lookup returns the verdict on e of the records applied so far.
func (c *coordinator) lookup(e Event) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return NotBegun
	}
	v, _ := c.table.Lookup(e.Key, e.Body, e.Token, time.Now())
	return v
}

// reply returns v with the stored response, read from the log, if v is
// Answered. It returns Refused if the record can't be read, and Answered with nil
// if the record holds no response for the key.
func (c *coordinator) reply(ctx context.Context, v Verdict, e Event) (Verdict, *Answer) {
	if v == NotBegun { // the begin in effect was voided since, or the table was reset
		return Refused, nil
	}
	if v == Run {
		owner := c.ownerToken(e.Key)
		c.invariants.Check(owner == e.Token, invariant.AtMostOnce, "a call is run by the holders of tokens %s and %s", owner, e.Token)
	}
	if v != Answered {
		return v, nil
	}
	c.mu.Lock()
	_, at := c.table.Lookup(e.Key, e.Body, e.Token, time.Now())
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	records, err := c.log.Read(ctx, c.stream, at, 1, 0)
	if err != nil || len(records) == 0 {
		return Refused, nil
	}
	return Answered, responseOf(records[0], e.Key)
}

// ownerToken returns the token whose begin of k is in effect, or "".
func (c *coordinator) ownerToken(k Key) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.OwnerToken(k)
}

// enqueue queues a begin. done is closed once the begin's offset in the stream
// is known. It returns false if the queue or the table is full or the stream has
// not been read.
func (c *coordinator) enqueue(e Event) (done <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Len() >= maxQueued || c.table == nil || c.table.Full() {
		return nil, false
	}
	ch, again := c.waiters[e.Token]
	if again { // this begin is queued or being appended already
		return ch, true
	}
	ch = make(chan struct{})
	c.waiters[e.Token] = ch
	c.add(e)
	return ch, true
}

// removeBegin removes a begin from the queue and reports whether it was still
// there.
func (c *coordinator) removeBegin(token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.RemoveBegin(token) {
		return false
	}
	delete(c.waiters, token)
	return true
}

// finish queues the End or Void of a call. If the begin is still queued, a Void
// removes it instead. It returns false if the queue is full.
func (c *coordinator) finish(e Event) bool {
	if e.Kind == Void && c.removeBegin(e.Token) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Len() >= maxQueued {
		return false
	}
	c.add(e)
	return true
}

// add queues e and starts flush if it is not running. The caller holds c.mu.
func (c *coordinator) add(e Event) {
	c.queue.Add(e)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// hasPending reports whether events are queued or being appended.
func (c *coordinator) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flushing
}
