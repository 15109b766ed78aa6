package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// flush appends the queued events until the queue is empty or the entry stops.
func (c *coordinator) flush() {
	for {
		c.mu.Lock()
		events, wait := c.queue.Take(time.Now())
		if events == nil && wait == 0 {
			c.flushing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if wait > 0 && !sleep.For(c.lifetime, wait) || wait == 0 && !c.append(events) {
			return
		}
	}
}

// append appends one record and reads the stream up to it. If the response to
// the append is lost, reading the new records shows whether the record is there.
// If not, it is appended once more; should the first one appear later, the second
// has no effect, since the tokens are the same. It returns false if the entry
// stops before the record is read.
func (c *coordinator) append(events []Event) bool {
	data, err := json.Marshal(events)
	if err != nil {
		return true
	}
	for !c.store(uuid.NewString(), data) {
		if !sleep.For(c.lifetime, retryBackoff) {
			return false
		}
	}
	c.notifyWaiters(events)
	return true
}

// store appends a record under id and reads the stream up to it. It reports
// whether the record was read.
func (c *coordinator) store(id string, data []byte) bool {
	ctx, cancel := context.WithTimeout(c.lifetime, logTimeout)
	defer cancel()
	offset, err := c.log.Append(ctx, c.stream, id, data)
	if err == nil {
		return c.readThrough(ctx, offset)
	}
	seen := false
	_ = c.read(ctx, func(r infra.Record) { seen = seen || r.ID == id })
	return seen
}

// readThrough reads the stream until the record at offset is applied. It
// reports whether that succeeded.
func (c *coordinator) readThrough(ctx context.Context, offset infra.Offset) bool {
	for {
		c.mu.Lock()
		done := c.table != nil && c.table.NextOffset() > offset
		c.mu.Unlock()
		if done {
			return true
		}
		if c.readNew(ctx) != nil {
			return false
		}
	}
}

// notifyWaiters wakes the callers of begin whose events are now in the stream.
func (c *coordinator) notifyWaiters(events []Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		if ch, ok := c.waiters[e.Token]; ok && e.Kind == Begin {
			close(ch)
			delete(c.waiters, e.Token)
		}
	}
}

// readNew applies the records that were appended since the last read.
func (c *coordinator) readNew(ctx context.Context) error {
	return c.read(ctx, func(infra.Record) {})
}

// read applies the records that were appended since the last read and calls each
// for every one of them, with c.mu held. It waits for a concurrent read to end, but
// no longer than until ctx is cancelled.
func (c *coordinator) read(ctx context.Context, each func(infra.Record)) error {
	select {
	case c.readLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.readLock }()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := c.initTable(ctx); err != nil {
		return err
	}
	for {
		c.mu.Lock()
		from := c.table.NextOffset()
		c.mu.Unlock()
		records, err := c.log.Read(ctx, c.stream, from, maxReadRecords, 0)
		var expired *infra.ExpiredError
		if errors.As(err, &expired) {
			c.reset()
			return err
		}
		if err != nil || len(records) == 0 {
			return err
		}
		c.mu.Lock()
		for _, r := range records {
			c.table.Apply(r)
			each(r)
		}
		c.mu.Unlock()
	}
}

// reset drops the table after records that it has not applied have expired. The
// next read initialises it again.
func (c *coordinator) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = nil
}

// initTable creates the table unless there is one. The table starts empty, at the
// first record whose keys may still be within the window.
func (c *coordinator) initTable(ctx context.Context) error {
	c.mu.Lock()
	known := c.table != nil
	c.mu.Unlock()
	if known {
		return nil
	}
	from, err := c.seek(ctx, time.Now().Add(-c.window-clockMargin))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = NewTable(c.window, from)
	return nil
}

// seek returns the offset of the first record at or after t. It uses a binary
// search by record time.
func (c *coordinator) seek(ctx context.Context, t time.Time) (infra.Offset, error) {
	low, high, err := c.log.Bounds(ctx, c.stream)
	if err != nil {
		return 0, err
	}
	for low < high {
		mid := low + (high-low)/2
		records, err := c.log.Read(ctx, c.stream, mid, 1, 0)
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
