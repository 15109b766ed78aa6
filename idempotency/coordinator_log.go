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
		if wait > 0 && !sleep.For(h.life, wait) || wait == 0 && !h.append(events) {
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
		if !sleep.For(h.life, retryBackoff) {
			return false
		}
	}
	h.settle(events)
	return true
}

// store appends a record and reads on until it is seen.
func (h *home) store(id string, data []byte) bool {
	ctx, cancel := context.WithTimeout(h.life, logTimeout)
	defer cancel()
	offset, err := h.log.Append(ctx, h.stream, id, data)
	if err == nil {
		return h.readTo(ctx, offset)
	}
	seen := false
	_ = h.read(ctx, func(r infra.Record) { seen = seen || r.ID == id })
	return seen
}

// readTo reads on until the record at offset is applied.
func (h *home) readTo(ctx context.Context, offset infra.Offset) bool {
	for {
		h.mu.Lock()
		done := h.table != nil && h.table.NextOffset() > offset
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
	return h.read(ctx, func(infra.Record) {})
}

// read applies the records that were not read yet and shows each. Another read
// under way is waited for no longer than ctx allows.
func (h *home) read(ctx context.Context, each func(infra.Record)) error {
	select {
	case h.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.reading }()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := h.open(ctx); err != nil {
		return err
	}
	for {
		h.mu.Lock()
		from := h.table.NextOffset()
		h.mu.Unlock()
		records, err := h.log.Read(ctx, h.stream, from, readLimit, 0)
		var expired *infra.ExpiredError
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

// reset forgets the table, since records that it lacks have expired.
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
func (h *home) seek(ctx context.Context, t time.Time) (infra.Offset, error) {
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
