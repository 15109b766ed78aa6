package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/invariant"
	"dandelionrelay/platform"
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
	log    platform.Log
	window time.Duration
	checks *invariant.Set

	stop <-chan struct{} // closed when the entry ends

	// reading lets one goroutine at a time read on.
	reading sync.Mutex

	mu       sync.Mutex
	table    *Table // nil until the stream was read
	group    Group
	settled  map[string]chan struct{} // token of a begin -> closed once its place is known
	flushing bool
}

func newHome(stream string, log platform.Log, window time.Duration, checks *invariant.Set, stop <-chan struct{}) *home {
	return &home{
		stream: stream, log: log, window: window, checks: checks, stop: stop,
		settled: make(map[string]chan struct{}),
	}
}

// begin settles which token runs the call of e, which is a Begin. It returns
// Refused or Down if that can't be known before ctx ends. It never makes the
// token void: its holder may have asked another home as well, and run.
func (h *home) begin(ctx context.Context, e Event) (Verdict, *Answer) {
	if v := h.known(ctx, e); v != Free {
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
	return Down, nil
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
		return Free
	}
	v, _ := h.table.Look(e.Key, e.Body, e.Token, time.Now())
	return v
}

// reply fetches the answer that goes with a verdict.
func (h *home) reply(ctx context.Context, v Verdict, e Event) (Verdict, *Answer) {
	if v == Free { // another begin came first and has become void since
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
	_, at := h.table.Look(e.Key, e.Body, e.Token, time.Now())
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
	return h.table.Owner(k)
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
	if !h.group.Drop(token) {
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

// sleep lets d pass. It returns false if the entry ends.
func (h *home) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-h.stop:
		return false
	}
}

// flush appends what is queued until nothing is, or the entry ends.
func (h *home) flush() {
	for {
		h.mu.Lock()
		events, wait := h.group.Take(time.Now())
		if events == nil && wait == 0 {
			h.flushing = false
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		if wait > 0 && !h.sleep(wait) || wait == 0 && !h.append(events) {
			return
		}
	}
}

// append stores one record and reads up to it. If its answer is lost, reading
// on tells whether it is there; if not it is stored once more, which changes
// nothing if the first turns up later, as the tokens are the same.
// It returns false if the entry ends before.
func (h *home) append(events []Event) bool {
	data, err := json.Marshal(events)
	if err != nil {
		return true
	}
	for !h.store(uuid.NewString(), data) {
		if !h.sleep(retryBackoff) {
			return false
		}
	}
	h.settle(events)
	return true
}

// store appends a record and reads on until it is seen.
func (h *home) store(id string, data []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	offset, err := h.log.Append(ctx, h.stream, id, data)
	if err == nil {
		return h.readTo(ctx, offset)
	}
	seen := false
	_ = h.read(ctx, func(r platform.Record) { seen = seen || r.ID == id })
	return seen
}

// readTo reads on until the record at offset is applied.
func (h *home) readTo(ctx context.Context, offset platform.Offset) bool {
	for {
		h.mu.Lock()
		done := h.table != nil && h.table.Next() > offset
		h.mu.Unlock()
		if done {
			return true
		}
		if h.readOn(ctx) != nil {
			return false
		}
	}
}

// settle tells the waiters of begins that their place is known.
func (h *home) settle(events []Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range events {
		if c, ok := h.settled[e.Token]; ok && e.Kind == Begin {
			close(c)
			delete(h.settled, e.Token)
		}
	}
}

// readOn applies the records that were not read yet.
func (h *home) readOn(ctx context.Context) error {
	return h.read(ctx, func(platform.Record) {})
}

func (h *home) read(ctx context.Context, each func(platform.Record)) error {
	h.reading.Lock()
	defer h.reading.Unlock()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := h.open(ctx); err != nil {
		return err
	}
	for {
		h.mu.Lock()
		from := h.table.Next()
		h.mu.Unlock()
		records, err := h.log.Read(ctx, h.stream, from, readLimit, 0)
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			h.reset()
			return err
		}
		if err != nil || len(records) == 0 {
			return err
		}
		h.mu.Lock()
		for _, r := range records {
			h.table.Apply(r)
			each(r)
		}
		h.mu.Unlock()
	}
}

func (h *home) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table = nil
}

// open finds the first record that may hold a key still known.
func (h *home) open(ctx context.Context) error {
	h.mu.Lock()
	known := h.table != nil
	h.mu.Unlock()
	if known {
		return nil
	}
	from, err := h.seek(ctx, time.Now().Add(-h.window-clockMargin))
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table = NewTable(h.window, from)
	return nil
}

// seek returns the offset of the first record at or after t, by bisection.
func (h *home) seek(ctx context.Context, t time.Time) (platform.Offset, error) {
	low, high, err := h.log.Bounds(ctx, h.stream)
	if err != nil {
		return 0, err
	}
	for low < high {
		mid := low + (high-low)/2
		records, err := h.log.Read(ctx, h.stream, mid, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(records) > 0 && records[0].Time.Before(t) {
			low = mid + 1
			continue
		}
		high = mid
	}
	return low, nil
}
