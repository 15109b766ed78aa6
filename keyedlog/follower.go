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

// State is the state machine into which a Follower replays a partition. Its methods
// are never called concurrently.
type State interface {
	// Reset replaces the whole state with the given records, the newest of each key.
	Reset(records []Record)
	// Apply adds records, in the order of their offsets.
	Apply(records []Record)
}

// Watcher is notified when a partition becomes unreachable or reachable again.
type Watcher interface {
	// Lost is called on the first failed read since a read last reached the end of
	// the partition.
	Lost(partition string, err error)
	// Regained is called on the first read after that to reach the end.
	Regained(partition string, o Outage)
}

// Outage is a span of time in which a partition could not be read.
type Outage struct {
	Duration    time.Duration // from the first failed read to the end of the first one that reached the end
	LastAttempt time.Duration // clock at the start of the latest read that failed
}

// Options are the settings of a Follower.
type Options struct {
	Name        string        // name of the partition, passed to Watcher
	MaxWait     time.Duration // maximum time for which the store holds a read open until there are records
	MinInterval time.Duration // pause between a read that found records and the next read
	Clock       boottime.Clock
	Watcher     Watcher // may be nil
}

// Bounds of the exponential backoff between failed reads.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
)

// Follower replays one partition into a State. Its methods are safe for concurrent
// use.
type Follower struct {
	reader  Reader
	state   State
	options Options

	mu     sync.Mutex // held while records are applied
	loaded bool       // Reset was called at least once
	next   int64      // offset to read next

	confirmed atomic.Int64 // clock at the start of the latest read that reached the end; 0: none
	lostSince atomic.Int64 // clock at the first failed read since one reached the end; 0: none failed

	lastAttempt atomic.Int64 // clock at the start of the latest failed read
}

// NewFollower returns a Follower that replays reader into state.
func NewFollower(reader Reader, state State, o Options) *Follower {
	return &Follower{reader: reader, state: state, options: o}
}

// Run follows the partition until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		wait := f.options.MaxWait
		if f.LostFor() > 0 {
			wait = 0 // a read that does not wait detects sooner that the log is reachable again
		}
		found, err := f.step(ctx, wait)
		if err != nil {
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

// Refresh loads the partition, or reads one page from it without waiting for new
// records.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.step(ctx, 0)
	return err
}

// RefreshToEnd loads the partition, or reads from it, until the state holds all records that
// were appended before the call.
func (f *Follower) RefreshToEnd(ctx context.Context) error {
	start := f.options.Clock()
	for {
		if err := f.Refresh(ctx); err != nil {
			return err
		}
		if time.Duration(f.confirmed.Load()) >= start {
			return nil
		}
	}
}

// step loads the partition or reads one page, and records a failure to do so. It reports
// whether it loaded the partition or found records.
func (f *Follower) step(ctx context.Context, wait time.Duration) (bool, error) {
	start := f.options.Clock()
	found, err := f.advance(ctx, start, wait)
	if err != nil {
		f.recordFailure(ctx, start, err)
	}
	return found, err
}

// advance loads the partition if it is not loaded yet or the next offset is no longer
// retained; otherwise it reads one page. start is the present time of the clock.
func (f *Follower) advance(ctx context.Context, start, wait time.Duration) (bool, error) {
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

// load replaces the state with the newest record of each key, unless records applied in
// the meantime are newer.
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
			// Records appended while further pages are read are read again
			// from this offset.
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

// apply adds those records that are not applied yet and returns the offset to read
// next.
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

// ApplyAppended applies records that this process has appended at offset at, without
// reading them back. It does nothing if the state does not end at offset at.
func (f *Follower) ApplyAppended(at int64, records []Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.next != at {
		return
	}
	appended := make([]Record, len(records))
	for i, r := range records {
		r.Offset = at + int64(i)
		appended[i] = r
	}
	f.state.Apply(appended)
	f.next = at + int64(len(records))
}

// ConfirmByPeer records that the records before offset next are all that were appended
// before at, as another follower of the partition has found. It returns false if this
// state ends before next: the newer records are missing; see ApplyFromPeer.
func (f *Follower) ConfirmByPeer(next int64, at time.Duration) bool {
	own, loaded := f.position()
	if !loaded || own < next {
		return false
	}
	f.raiseConfirmed(at)
	return true
}

// ApplyFromPeer replaces the state with the newest record of each key of a partition, which
// another follower has read up to offset next or further. It does nothing if there are none,
// or if the state does not end before next. The state must not need the records between.
func (f *Follower) ApplyFromPeer(records []Record, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(records) == 0 || !f.loaded || f.next >= next {
		return
	}
	f.state.Reset(records)
	f.next = next
}

// MergeFromPeer applies records that another follower of the partition has read, without
// those of other keys or an offset up to which it has them all. They are read again from the
// partition, and the state must keep the newer of two records. It does nothing before the
// first load.
func (f *Follower) MergeFromPeer(records []Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && len(records) > 0 {
		f.state.Apply(records)
	}
}

// raiseConfirmed sets the time up to which the state is known to be complete, unless it
// is later already.
func (f *Follower) raiseConfirmed(at time.Duration) {
	for {
		old := f.confirmed.Load()
		if int64(at) <= old || f.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// position returns the offset to read next and whether the state is loaded.
func (f *Follower) position() (next int64, loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.loaded
}

// NextOffset returns the offset after the newest applied record; false before the
// first load.
func (f *Follower) NextOffset() (int64, bool) { return f.position() }

// Age returns the time since the start of the latest read that reached the end of the
// partition, by this follower or by one that confirmed the same state; false before the
// first load.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return f.options.Clock() - time.Duration(at), true
}

// LostFor returns the time since the first failed read after the last one that reached
// the end of the partition; 0 if none has failed since.
func (f *Follower) LostFor() time.Duration {
	at := f.lostSince.Load()
	if at == 0 {
		return 0
	}
	return f.options.Clock() - time.Duration(at)
}

// confirm records that the state holds all records appended before start, and ends an
// outage.
func (f *Follower) confirm(start time.Duration) {
	f.raiseConfirmed(start)
	if since := f.lostSince.Swap(0); since != 0 && f.options.Watcher != nil {
		f.options.Watcher.Regained(f.options.Name, Outage{
			Duration:    f.options.Clock() - time.Duration(since),
			LastAttempt: time.Duration(f.lastAttempt.Load()),
		})
	}
}

// recordFailure records a failed read that began at start, unless ctx is done.
func (f *Follower) recordFailure(ctx context.Context, start time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	f.lastAttempt.Store(int64(start))
	if f.lostSince.CompareAndSwap(0, int64(f.options.Clock())) && f.options.Watcher != nil {
		f.options.Watcher.Lost(f.options.Name, err)
	}
}
