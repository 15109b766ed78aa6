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

// maxReadRecords is the maximum number of records in one read of the log.
const maxReadRecords = 8

// maxReadWait is how long a read waits for the next record.
const maxReadWait = 5 * time.Second

// logRetryDelay is the delay before a failed call to the log is repeated.
const logRetryDelay = time.Second

// partition runs the scheduler of one stream: it replays the stream, appends
// what the scheduler decides, and wakes the goroutines that wait for a change.
type partition struct {
	service     *Service
	number      int
	stream      string
	cancel      context.CancelFunc
	factsQueued chan struct{} // signals that facts were queued

	mu          sync.Mutex
	scheduler   *scheduler
	writer      writer
	owned       bool
	ready       bool          // replayed to the end that the stream had at the start
	assignAfter time.Time     // no item is assigned before this time
	lastUsed    time.Time     // time of the last wait for a change; see await
	lastRead    time.Time     // when the log last responded to a read
	changed     chan struct{} // closed and replaced when the table changes
}

func newPartition(s *Service, number int) *partition {
	p := &partition{
		service:     s,
		number:      number,
		stream:      streamName(number),
		factsQueued: make(chan struct{}, 1),
		scheduler:   newScheduler(s.opts.Invariants, NewTable(s.opts.Invariants), s.nextNonce()),
		writer:      writer{nonce: s.nextNonce()},
		lastUsed:    time.Now(),
		changed:     make(chan struct{}),
	}
	p.scheduler.table.onCompleted = p.countCompleted
	p.scheduler.permits, p.scheduler.isolates = s.permits, s.isolates
	return p
}

// run runs the partition until ctx ends.
func (p *partition) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.replay(ctx) })
	wg.Go(func() { p.write(ctx) })
	wg.Go(func() { p.tick(ctx) })
	wg.Go(func() { p.renew(ctx) })
	wg.Wait()
}

// replay follows the stream and applies its records to the table.
func (p *partition) replay(ctx context.Context) {
	end, ok := p.initBounds(ctx)
	if !ok {
		return
	}
	for ctx.Err() == nil {
		p.mu.Lock()
		from := p.scheduler.table.next
		if !p.ready && from >= end {
			p.markReady()
		}
		p.mu.Unlock()
		records, err := p.service.opts.Log.Read(ctx, p.stream, from, maxReadRecords, maxReadWait)
		if err != nil {
			end = p.handleReadError(ctx, err, end)
			continue
		}
		p.apply(records)
	}
}

// staleAfter is the time without a response of the log to a read after which the
// table may lack records that other instances have stored.
const staleAfter = maxReadWait + 2*time.Second

// stale reports whether the log has not responded to a read for staleAfter. The
// caller holds the lock.
func (p *partition) stale(now time.Time) bool {
	return now.Sub(p.lastRead) > staleAfter
}

// recordRead records that the log responded to a read. If the table was stale,
// heartbeats are awaited, as after a takeover, before any attempt counts as
// lost. The caller holds the lock.
func (p *partition) recordRead(now time.Time) {
	if p.ready && p.stale(now) {
		p.assignAfter = now.Add(TakeoverGrace)
		for key := range p.scheduler.orphans {
			p.scheduler.orphans[key] = now
		}
	}
	p.lastRead = now
}

// initBounds has the table start at the oldest record of the stream and returns
// the end of the stream. It retries until ctx ends, and then returns false.
func (p *partition) initBounds(ctx context.Context) (end infra.Offset, ok bool) {
	for ctx.Err() == nil {
		oldest, next, err := p.service.opts.Log.Bounds(ctx, p.stream)
		if err == nil {
			p.mu.Lock()
			p.scheduler.table.SetNext(oldest)
			p.mu.Unlock()
			return next, true
		}
		sleep.For(ctx, logRetryDelay)
	}
	return 0, false
}

// handleReadError handles a failed read and returns the offset at which the
// replay is complete. If records expired before they were read it starts again
// from an empty table: what was still needed of them has been renewed.
func (p *partition) handleReadError(ctx context.Context, err error, end infra.Offset) infra.Offset {
	var expired *infra.ExpiredError
	if !errors.As(err, &expired) {
		sleep.For(ctx, logRetryDelay)
		return end
	}
	p.mu.Lock()
	p.ready = false
	p.scheduler = newScheduler(p.service.opts.Invariants, NewTable(p.service.opts.Invariants), p.service.nextNonce())
	p.mu.Unlock()
	next, _ := p.initBounds(ctx)
	return next
}

// markReady ends the initial replay. The caller holds the lock.
func (p *partition) markReady() {
	p.ready = true
	p.scheduler.table.MarkReplayed()
	p.assignAfter = time.Now()
	if len(p.scheduler.openJobs()) > 0 {
		p.assignAfter = p.assignAfter.Add(TakeoverGrace)
	}
	p.notifyChanged()
}

// apply applies records to the table and wakes the goroutines that wait for a
// change.
func (p *partition) apply(records []infra.Record) {
	p.mu.Lock()
	p.recordRead(time.Now())
	if len(records) == 0 {
		p.mu.Unlock()
		return
	}
	for _, r := range records {
		if err := p.scheduler.table.Apply(r); err != nil {
			p.service.reportBadRecord(p.stream, r.Offset, err)
		}
	}
	p.notifyChanged()
	p.mu.Unlock()
	p.service.notifyWork()
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds
// the lock.
func (p *partition) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// submit queues facts to be appended.
func (p *partition) submit(facts []fact) {
	if len(facts) == 0 {
		return
	}
	p.mu.Lock()
	p.writer.add(facts)
	p.mu.Unlock()
	select {
	case p.factsQueued <- struct{}{}:
	default:
	}
}

// write appends groups of facts until ctx ends.
func (p *partition) write(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		g, wait := p.writer.nextGroup(time.Now())
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
		case <-p.factsQueued:
		}
	}
}

// appendGroup appends g and records that it is stored.
func (p *partition) appendGroup(ctx context.Context, g *group) {
	if !p.appendRecord(ctx, g.id, g.data) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writer.markStored(g)
}

// appendRecord appends a record and retries until it is known to be stored. It
// returns false if ctx ended first. Duplicates are harmless: of equal facts the
// first counts.
func (p *partition) appendRecord(ctx context.Context, id string, data []byte) bool {
	for ctx.Err() == nil {
		if _, err := p.service.opts.Log.Append(ctx, p.stream, id, data); err == nil {
			return true
		}
		sleep.For(ctx, logRetryDelay)
		p.mu.Lock()
		_, found := p.scheduler.table.RecordOffset(id)
		p.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// tick handles timeouts and removes expired state once a second until ctx ends.
func (p *partition) tick(ctx context.Context) {
	for sleep.For(ctx, time.Second) {
		now := time.Now()
		p.mu.Lock()
		var facts []fact
		if p.ready && p.owned && !p.stale(now) && !now.Before(p.assignAfter) {
			facts = p.scheduler.tick(now)
		}
		lost := p.scheduler.lostAttempts
		p.scheduler.lostAttempts = nil
		if p.ready {
			p.scheduler.table.RemoveExpired(now)
		}
		p.mu.Unlock()
		p.notifyLost(lost)
		p.submit(p.fillCustomIDs(ctx, facts))
		p.service.notifyWork()
	}
}

// waitReady waits until the partition is replayed.
func (p *partition) waitReady(ctx context.Context) error {
	return p.await(ctx, func() bool { return p.ready })
}

// checkOrCatchUp returns at once if ok holds for the table, and otherwise once
// everything stored before the call is replayed. ok is called with the lock
// held.
func (p *partition) checkOrCatchUp(ctx context.Context, ok func(*Table) bool) error {
	p.mu.Lock()
	known := ok(p.scheduler.table)
	p.mu.Unlock()
	if known {
		return nil
	}
	return p.catchUp(ctx)
}

// catchUp waits until everything stored before the call is replayed.
func (p *partition) catchUp(ctx context.Context) error {
	_, next, err := p.service.opts.Log.Bounds(ctx, p.stream)
	if err != nil {
		return err
	}
	return p.await(ctx, func() bool { return p.ready && p.scheduler.table.next >= next })
}

// await waits until ok, which is called with the lock held, returns true. It
// returns NotDurable if ctx ends first.
func (p *partition) await(ctx context.Context, ok func() bool) error {
	for {
		p.mu.Lock()
		p.lastUsed = time.Now()
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

// isUnavailable reports whether err means that the log is unavailable.
func isUnavailable(err error) bool {
	return errorx.IsOfType(err, infra.Unavailable)
}
