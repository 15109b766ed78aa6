package idempotency

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

const (
	readLimit    = 500 // records at once
	logTimeout   = 2 * time.Second
	retryBackoff = 100 * time.Millisecond
	maxQueued    = 10_000 // events of one stream that wait for the log
)

// home reads and appends one stream.
type home struct {
	stream string
	log    infra.Log
	window time.Duration
	checks *invariant.Set

	life context.Context // ends with the entry

	// reading holds a value while a goroutine reads on: one at a time does.
	reading chan struct{}

	mu       sync.Mutex
	table    *Table // nil until the stream was read
	group    CommitQueue
	settled  map[string]chan struct{} // token of a begin -> closed once its place is known
	flushing bool
}

func newHome(life context.Context, stream string, log infra.Log, window time.Duration, checks *invariant.Set) *home {
	return &home{
		stream: stream, log: log, window: window, checks: checks, life: life,
		reading: make(chan struct{}, 1),
		settled: make(map[string]chan struct{}),
	}
}

// begin settles which token runs the call of e, which is a Begin. It returns
// Refused or Down if that can't be known before ctx or the entry ends. It never makes the
// token void: its holder may have asked another home as well, and run.
func (h *home) begin(ctx context.Context, e Event) (Verdict, *Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.life, cancel)()
	if v := h.known(ctx, e); v != NotBegun {
		return h.reply(ctx, v, e)
	}
	done, ok := h.enqueue(e)
	if !ok {
		return Refused, nil
	}
	select {
	case <-done:
		return h.reply(ctx, h.look(e), e)
	case <-ctx.Done():
	}
	if h.drop(e.Token) {
		return Refused, nil
	}
	return Indeterminate, nil
}

// known returns the verdict on e if it needs no record.
func (h *home) known(ctx context.Context, e Event) Verdict {
	if h.look(e) == Answered {
		return Answered
	}
	if h.readOn(ctx) != nil {
		return Refused
	}
	return h.look(e)
}

func (h *home) look(e Event) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return NotBegun
	}
	v, _ := h.table.Lookup(e.Key, e.Body, e.Token, time.Now())
	return v
}

// reply fetches the answer that goes with a verdict.
func (h *home) reply(ctx context.Context, v Verdict, e Event) (Verdict, *Answer) {
	if v == NotBegun { // another begin came first and has become void since
		return Refused, nil
	}
	if v == Run {
		owner := h.owner(e.Key)
		h.checks.Check(owner == e.Token, invariant.AtMostOnce, "a call is run by %s and by %s", owner, e.Token)
	}
	if v != Answered {
		return v, nil
	}
	h.mu.Lock()
	_, at := h.table.Lookup(e.Key, e.Body, e.Token, time.Now())
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	records, err := h.log.Read(ctx, h.stream, at, 1, 0)
	if err != nil || len(records) == 0 {
		return Refused, nil
	}
	return Answered, answerOf(records[0], e.Key)
}

// owner returns the token whose begin came first.
func (h *home) owner(k Key) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.OwnerToken(k)
}

// enqueue queues a begin. The channel is closed once the begin's place in the
// stream is known.
func (h *home) enqueue(e Event) (done <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group.Len() >= maxQueued || h.table == nil || h.table.Full() {
		return nil, false
	}
	c, again := h.settled[e.Token]
	if again { // the same request asks once more
		return c, true
	}
	c = make(chan struct{})
	h.settled[e.Token] = c
	h.add(e)
	return c, true
}

// drop takes a begin out of the queue, if no record holds it yet.
func (h *home) drop(token string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.group.RemoveBegin(token) {
		return false
	}
	delete(h.settled, token)
	return true
}

// finish queues the End or Void of a call. A begin that still waits is taken
// out instead.
func (h *home) finish(e Event) bool {
	if e.Kind == Void && h.drop(e.Token) {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group.Len() >= maxQueued {
		return false
	}
	h.add(e)
	return true
}

// add queues e and starts the flusher. The caller holds the lock.
func (h *home) add(e Event) {
	h.group.Add(e)
	if !h.flushing {
		h.flushing = true
		go h.flush()
	}
}

// busy says that events wait to be stored.
func (h *home) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flushing
}
