// Package keyed is a stand-in for a partition of a log that keeps the newest
// record of each key, in memory, with faults.
package keyed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrelay/keyedlog"
)

// Log is one partition, shared by all its handles.
type Log struct {
	mu      sync.Mutex
	records []keyedlog.Record
	first   int64 // the oldest offset that reads still return
	newest  map[string]keyedlog.Record
	changed chan struct{}
	page    int
}

// NewLog returns an empty partition whose newest records come in pages of at
// most page records.
func NewLog(page int) *Log {
	return &Log{newest: make(map[string]keyedlog.Record), changed: make(chan struct{}), page: page}
}

// Trim drops the history: only the newest record of each key is kept.
func (l *Log) Trim() {
	l.mu.Lock()
	l.first = int64(len(l.records))
	l.mu.Unlock()
}

// Len returns the offset that the next append gets.
func (l *Log) Len() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.records))
}

// Fault says what befalls calls through a handle.
type Fault int

// The faults of a handle.
const (
	None         Fault = iota
	Unreachable        // calls have no effect and no answer
	ResponseLost       // appends are done and not answered
	Refused            // calls are refused
	Unresponsive       // calls have no effect and hang until they are given up
)

// Handle is one caller's way to a Log. It implements batch.Store.
type Handle struct {
	Log *Log

	mu    sync.Mutex
	fault Fault
}

// SetFault makes all further calls meet a fault.
func (h *Handle) SetFault(f Fault) {
	h.mu.Lock()
	h.fault = f
	h.mu.Unlock()
}

func (h *Handle) met(ctx context.Context) (Fault, error) {
	h.mu.Lock()
	fault := h.fault
	h.mu.Unlock()
	switch fault {
	case Unresponsive:
		<-ctx.Done()
		return Unresponsive, keyedlog.Unavailable.Wrap(ctx.Err(), "silent")
	case Unreachable:
		return Unreachable, keyedlog.Unavailable.New("cut")
	case Refused:
		return Refused, keyedlog.NotDone.New("refused")
	}
	return fault, nil
}

// Append implements keyedlog.Partition.
func (h *Handle) Append(ctx context.Context, at int64, records []keyedlog.Record) (int64, error) {
	fault, err := h.met(ctx)
	if err != nil {
		return 0, err
	}
	first, err := h.Log.append(at, records)
	if err == nil && fault == ResponseLost {
		return 0, keyedlog.Unavailable.New("the answer is lost")
	}
	return first, err
}

func (l *Log) append(at int64, records []keyedlog.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if at != keyedlog.AnyOffset && at != end {
		return 0, &keyedlog.ConflictError{End: end}
	}
	for i, r := range records {
		r.Offset = end + int64(i)
		r.Value = slices.Clone(r.Value)
		l.records = append(l.records, r)
		if r.Value == nil {
			delete(l.newest, r.Key)
		} else {
			l.newest[r.Key] = r
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

// Read implements keyedlog.Reader.
func (h *Handle) Read(ctx context.Context, from int64, wait time.Duration) (keyedlog.Page, error) {
	if _, err := h.met(ctx); err != nil {
		return keyedlog.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := h.Log.read(from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return keyedlog.Page{}, keyedlog.Unavailable.Wrap(ctx.Err(), "no answer")
		}
	}
}

func (l *Log) read(from int64) (keyedlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return keyedlog.Page{}, nil, &keyedlog.TrimmedError{First: l.first}
	}
	page := keyedlog.Page{End: int64(len(l.records))}
	if from < page.End {
		page.Records = slices.Clone(l.records[from:])
	}
	return page, l.changed, nil
}

// Newest implements keyedlog.Reader.
func (h *Handle) Newest(ctx context.Context, after string) (keyedlog.Page, bool, error) {
	if _, err := h.met(ctx); err != nil {
		return keyedlog.Page{}, false, err
	}
	l := h.Log
	l.mu.Lock()
	defer l.mu.Unlock()
	page := keyedlog.Page{End: int64(len(l.records))}
	for _, key := range slices.Sorted(maps.Keys(l.newest)) {
		if key <= after {
			continue
		}
		if len(page.Records) == l.page {
			return page, true, nil
		}
		page.Records = append(page.Records, l.newest[key])
	}
	return page, false, nil
}

// At implements batch.Store.
func (h *Handle) At(ctx context.Context, offset int64, _ int) (keyedlog.Record, error) {
	page, err := h.Read(ctx, offset, 0)
	if err != nil {
		return keyedlog.Record{}, err
	}
	if len(page.Records) == 0 {
		return keyedlog.Record{}, keyedlog.NotDone.New("no record at offset %d", offset)
	}
	return page.Records[0], nil
}
