package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// readBatch is the number of records asked for at once.
const readBatch = 8

// readWait is how long a read waits for the next record.
const readWait = 5 * time.Second

// retryPause is the time between two tries while the log is down.
const retryPause = time.Second

// partition drives the owner of one stream: it replays the stream, appends
// what the owner decides, and wakes those who wait.
type partition struct {
	s      *Service
	number int
	stream string
	cancel context.CancelFunc
	kick   chan struct{} // facts were queued

	mu      sync.Mutex
	owner   *owner
	writer  writer
	owned   bool
	ready   bool          // replayed to the end
	handOut time.Time     // no work is handed out before
	used    time.Time     // last asked for anything
	read    time.Time     // when the log last answered a read
	changed chan struct{} // closed when the table changes
}

func newPartition(s *Service, number int) *partition {
	p := &partition{
		s:       s,
		number:  number,
		stream:  streamName(number),
		kick:    make(chan struct{}, 1),
		owner:   newOwner(s.o.Invariants, NewTable(s.o.Invariants), s.nextNonce()),
		writer:  writer{nonce: s.nextNonce()},
		used:    time.Now(),
		changed: make(chan struct{}),
	}
	p.owner.table.completed = p.countCompleted
	return p
}

// run drives the partition until ctx ends.
func (p *partition) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.replay(ctx) })
	wg.Go(func() { p.write(ctx) })
	wg.Go(func() { p.tick(ctx) })
	wg.Go(func() { p.carry(ctx) })
	wg.Wait()
}

// replay follows the stream.
func (p *partition) replay(ctx context.Context) {
	end, ok := p.begin(ctx)
	if !ok {
		return
	}
	for ctx.Err() == nil {
		p.mu.Lock()
		from := p.owner.table.next
		if !p.ready && from >= end {
			p.becomeReady()
		}
		p.mu.Unlock()
		records, err := p.s.o.Log.Read(ctx, p.stream, from, readBatch, readWait)
		if err != nil {
			end = p.readFailed(ctx, err, end)
			continue
		}
		p.apply(records)
	}
}

// blindAfter is the silence of the log after which the table may be behind
// what other instances have stored.
const blindAfter = readWait + 2*time.Second

// blind says whether the log has been silent for long. The caller holds the
// lock.
func (p *partition) blind(now time.Time) bool {
	return now.Sub(p.read) > blindAfter
}

// noteRead notes that the log answered. After a long silence heartbeats are
// awaited, as after a takeover, before any attempt counts as lost. The caller
// holds the lock.
func (p *partition) noteRead(now time.Time) {
	if p.ready && p.blind(now) {
		p.handOut = now.Add(TakeoverGrace)
		for key := range p.owner.orphans {
			p.owner.orphans[key] = now
		}
	}
	p.read = now
}

// begin finds where the stream starts and ends.
func (p *partition) begin(ctx context.Context) (end infra.Offset, ok bool) {
	for ctx.Err() == nil {
		oldest, next, err := p.s.o.Log.Bounds(ctx, p.stream)
		if err == nil {
			p.mu.Lock()
			p.owner.table.SetNext(oldest)
			p.mu.Unlock()
			return next, true
		}
		sleep.For(ctx, retryPause)
	}
	return 0, false
}

// readFailed waits, or starts again from an empty table if records expired
// before they were read: what they said was carried, or is over.
func (p *partition) readFailed(ctx context.Context, err error, end infra.Offset) infra.Offset {
	var expired *infra.ExpiredError
	if !errors.As(err, &expired) {
		sleep.For(ctx, retryPause)
		return end
	}
	p.mu.Lock()
	p.ready = false
	p.owner = newOwner(p.s.o.Invariants, NewTable(p.s.o.Invariants), p.s.nextNonce())
	p.mu.Unlock()
	next, _ := p.begin(ctx)
	return next
}

// becomeReady ends the first replay. The caller holds the lock.
func (p *partition) becomeReady() {
	p.ready = true
	p.owner.table.MarkReplayed()
	p.handOut = time.Now()
	if len(p.owner.openJobs()) > 0 {
		p.handOut = p.handOut.Add(TakeoverGrace)
	}
	p.wake()
}

func (p *partition) apply(records []infra.Record) {
	p.mu.Lock()
	p.noteRead(time.Now())
	if len(records) == 0 {
		p.mu.Unlock()
		return
	}
	for _, r := range records {
		if err := p.owner.table.Apply(r); err != nil {
			p.s.badRecord(p.stream, r.Offset, err)
		}
	}
	p.wake()
	p.mu.Unlock()
	p.s.wake()
}

// wake lets go all who wait for a change. The caller holds the lock.
func (p *partition) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// submit queues facts for the log.
func (p *partition) submit(facts []fact) {
	if len(facts) == 0 {
		return
	}
	p.mu.Lock()
	p.writer.add(facts)
	p.mu.Unlock()
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// write appends groups until ctx ends.
func (p *partition) write(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		g, wait := p.writer.take(time.Now())
		p.mu.Unlock()
		if g != nil {
			p.appendGroup(ctx, g)
			continue
		}
		if wait > 0 {
			sleep.For(ctx, wait)
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.kick:
		}
	}
}

// appendGroup appends g and tells the writer.
func (p *partition) appendGroup(ctx context.Context, g *group) {
	if !p.appendRecord(ctx, g.id, g.data) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writer.stored(g)
}

// appendRecord appends a record until it is known to be stored; false means
// that ctx ended before. Repeats are harmless: of equal facts the first
// counts.
func (p *partition) appendRecord(ctx context.Context, id string, data []byte) bool {
	for ctx.Err() == nil {
		if _, err := p.s.o.Log.Append(ctx, p.stream, id, data); err == nil {
			return true
		}
		sleep.For(ctx, retryPause)
		p.mu.Lock()
		_, found := p.owner.table.RecordOffset(id)
		p.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// tick drives what follows from the passing of time.
func (p *partition) tick(ctx context.Context) {
	for sleep.For(ctx, time.Second) {
		now := time.Now()
		p.mu.Lock()
		var facts []fact
		if p.ready && p.owned && !p.blind(now) && !now.Before(p.handOut) {
			facts = p.owner.tick(now)
		}
		lost := p.owner.mourned
		p.owner.mourned = nil
		if p.ready {
			p.owner.table.RemoveExpired(now)
		}
		p.mu.Unlock()
		p.mourn(lost)
		p.submit(p.complete(ctx, facts))
		p.s.wake()
	}
}

// waitReady waits until the partition is replayed.
func (p *partition) waitReady(ctx context.Context) error {
	return p.await(ctx, func() bool { return p.ready })
}

// learnOf returns at once if ok holds of the table, or else once everything
// stored before the call is replayed. ok is called with the lock held.
func (p *partition) learnOf(ctx context.Context, ok func(*Table) bool) error {
	p.mu.Lock()
	known := ok(p.owner.table)
	p.mu.Unlock()
	if known {
		return nil
	}
	return p.catchUp(ctx)
}

// catchUp waits until everything stored before the call is replayed.
func (p *partition) catchUp(ctx context.Context) error {
	_, next, err := p.s.o.Log.Bounds(ctx, p.stream)
	if err != nil {
		return err
	}
	return p.await(ctx, func() bool { return p.ready && p.owner.table.next >= next })
}

// await waits until ok, which is called with the lock held.
func (p *partition) await(ctx context.Context, ok func() bool) error {
	for {
		p.mu.Lock()
		p.used = time.Now()
		done, changed := ok(), p.changed
		p.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return NotDurable.Wrap(ctx.Err(), "partition %d", p.number)
		}
	}
}

// isUnavailable says whether err means that the log is down.
func isUnavailable(err error) bool {
	return errorx.IsOfType(err, infra.Unavailable)
}
