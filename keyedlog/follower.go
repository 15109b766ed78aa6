package keyedlog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/boottime"
	"dandelionrelay/sleep"
)

// State is what a Follower replays a partition into. Its methods are called
// one at a time.
type State interface {
	// Reset replaces all that is known by the newest record of each key.
	Reset(records []Record)
	// Apply adds records in the order of their offsets.
	Apply(records []Record)
}

// Watcher is told what happens to the partition's reachability.
type Watcher interface {
	// Lost is called with the first failure after a success.
	Lost(partition string, err error)
	// Regained is called with the first success after a failure.
	Regained(partition string, after time.Duration)
}

// Options are the settings of a Follower.
type Options struct {
	Name        string        // of the partition, for logs
	MaxWait     time.Duration // how long a read may wait at the store for records
	MinInterval time.Duration // least time between two reads that found records
	Clock       boottime.Clock
	Watcher     Watcher
}

// Pauses between failed reads.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
)

// Follower replays one partition.
type Follower struct {
	reader  Reader
	state   State
	options Options

	mu     sync.Mutex // held while records are applied
	loaded bool
	next   int64

	confirmed atomic.Int64 // Clock at the start of the newest read that reached the end; 0: none
	lostSince atomic.Int64 // Clock at the first failure in a row; 0: reachable
}

// NewFollower returns a Follower that replays reader into state.
func NewFollower(reader Reader, state State, o Options) *Follower {
	return &Follower{reader: reader, state: state, options: o}
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		wait := f.options.MaxWait
		if f.LostFor() > 0 {
			wait = 0 // the sooner it is known that the log is back
		}
		found, err := f.step(ctx, wait)
		if err != nil {
			f.failed(ctx, err)
			sleep.For(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
		if found {
			sleep.For(ctx, f.options.MinInterval)
		}
	}
}

// Refresh reads up to the present end of the partition.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.step(ctx, 0)
	if err != nil {
		f.failed(ctx, err)
	}
	return err
}

// step loads the partition, or reads on once. It reports whether there were
// new records.
func (f *Follower) step(ctx context.Context, wait time.Duration) (bool, error) {
	start := f.options.Clock()
	from, loaded := f.position()
	if !loaded {
		return true, f.load(ctx)
	}
	page, err := f.reader.Read(ctx, from, wait)
	if trimmed := (*TrimmedError)(nil); errors.As(err, &trimmed) {
		return true, f.load(ctx)
	}
	if err != nil {
		return false, err
	}
	if f.apply(page.Records) >= page.End {
		f.confirm(start)
	}
	return len(page.Records) > 0, nil
}

// load replaces the state by the newest record of each key.
func (f *Follower) load(ctx context.Context) error {
	start := f.options.Clock()
	var all []Record
	var end int64
	after := ""
	for first := true; ; first = false {
		page, more, err := f.reader.Newest(ctx, after)
		if err != nil {
			return err
		}
		if first {
			// Records that come while further pages are read are read again.
			end = page.End
		}
		all = append(all, page.Records...)
		if !more || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.mu.Lock()
	if !f.loaded || end >= f.next {
		f.state.Reset(all)
		f.loaded = true
		f.next = end
	}
	f.mu.Unlock()
	f.confirm(start)
	return nil
}

// apply adds the records that are new and returns the offset to read next.
func (f *Follower) apply(records []Record) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(records) > 0 && records[0].Offset < f.next {
		records = records[1:]
	}
	if len(records) > 0 {
		f.state.Apply(records)
		f.next = records[len(records)-1].Offset + 1
	}
	return f.next
}

// ApplyAppended adds records that this process has just appended at offset at, if
// all before them is known. It spares reading them back.
func (f *Follower) ApplyAppended(at int64, records []Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.next != at {
		return
	}
	placed := make([]Record, len(records))
	for i, r := range records {
		r.Offset = at + int64(i)
		placed[i] = r
	}
	f.state.Apply(placed)
	f.next = at + int64(len(records))
}

// position returns the offset to read next and whether the state was loaded.
func (f *Follower) position() (next int64, loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.loaded
}

// NextOffset returns the offset up to which the state is known; false before the
// first load.
func (f *Follower) NextOffset() (int64, bool) { return f.position() }

// Age returns for how long the state has not been confirmed, counted from the
// start of the read that confirmed it; false before the first load.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return f.options.Clock() - time.Duration(at), true
}

// LostFor returns for how long all reads have failed; 0 if the last one
// succeeded.
func (f *Follower) LostFor() time.Duration {
	at := f.lostSince.Load()
	if at == 0 {
		return 0
	}
	return f.options.Clock() - time.Duration(at)
}

// confirm notes that the state held at start or later.
func (f *Follower) confirm(start time.Duration) {
	for {
		old := f.confirmed.Load()
		if int64(start) <= old || f.confirmed.CompareAndSwap(old, int64(start)) {
			break
		}
	}
	if since := f.lostSince.Swap(0); since != 0 && f.options.Watcher != nil {
		f.options.Watcher.Regained(f.options.Name, f.options.Clock()-time.Duration(since))
	}
}

// failed notes a failed read.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lostSince.CompareAndSwap(0, int64(f.options.Clock())) && f.options.Watcher != nil {
		f.options.Watcher.Lost(f.options.Name, err)
	}
}
