// Package keyed is a stand-in for a partition of a compacted log, which retains the
// newest record of each key. It is in memory and supports fault injection.
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
	mu       sync.Mutex
	records  []keyedlog.Record
	first    int64                      // the oldest offset that can be read
	newest   map[string]keyedlog.Record // by key
	changed  chan struct{}              // closed at the next append
	pageSize int                        // maximum number of records that Newest returns
}

// NewLog returns an empty partition. Handle.Newest returns pages of at most
// pageSize records.
func NewLog(pageSize int) *Log {
	return &Log{newest: make(map[string]keyedlog.Record), changed: make(chan struct{}), pageSize: pageSize}
}

// Trim drops all records but the newest one of each key, which only Newest returns from
// then on. Reads of the offsets before the end fail with a keyedlog.TrimmedError.
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

// Fault is a failure that is injected into calls through a handle.
type Fault int

// The faults of a handle.
const (
	None         Fault = iota
	Unreachable        // calls have no effect and fail as unavailable
	ResponseLost       // appends take effect but fail as unavailable
	Refused            // calls have no effect and fail as not done
	Unresponsive       // calls have no effect and block until their context ends
)

// Handle is one client's access to a Log, with faults of its own. It implements
// batch.Store.
type Handle struct {
	Log *Log

	mu    sync.Mutex
	fault Fault
}

// SetFault injects f into all later calls, until it is replaced.
func (h *Handle) SetFault(f Fault) {
	h.mu.Lock()
	h.fault = f
	h.mu.Unlock()
}

// injectFault returns the fault in force, and its error if the call must not reach
// the log. If the fault is Unresponsive, it blocks until ctx ends.
func (h *Handle) injectFault(ctx context.Context) (Fault, error) {
	h.mu.Lock()
	fault := h.fault
	h.mu.Unlock()
	switch fault {
	case Unresponsive:
		<-ctx.Done()
		return Unresponsive, keyedlog.Unavailable.Wrap(ctx.Err(), "injected fault: no response")
	case Unreachable:
		return Unreachable, keyedlog.Unavailable.New("injected fault: unreachable")
	case Refused:
		return Refused, keyedlog.NotDone.New("injected fault: refused")
	}
	return fault, nil
}

// Append implements keyedlog.Partition.
func (h *Handle) Append(ctx context.Context, expected int64, records []keyedlog.Record) (int64, error) {
	fault, err := h.injectFault(ctx)
	if err != nil {
		return 0, err
	}
	first, err := h.Log.append(expected, records)
	if err == nil && fault == ResponseLost {
		return 0, keyedlog.Unavailable.New("injected fault: response lost")
	}
	return first, err
}

func (l *Log) append(expected int64, records []keyedlog.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if expected != keyedlog.AnyOffset && expected != end {
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
	if _, err := h.injectFault(ctx); err != nil {
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
			// A fault holds for reads that wait too.
			if _, err := h.injectFault(ctx); err != nil {
				return keyedlog.Page{}, err
			}
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return keyedlog.Page{}, keyedlog.Unavailable.Wrap(ctx.Err(), "read interrupted")
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
	if _, err := h.injectFault(ctx); err != nil {
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
		if len(page.Records) == l.pageSize {
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
