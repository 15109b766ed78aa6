package batch

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Delays before an append to the index is retried.
const (
	// conflictRetryDelay follows a conflict with another entry's append.
	conflictRetryDelay = 3 * time.Millisecond
	// storeRetryDelay follows any other failure. It is also the delay before
	// finished items are listed again after a failure, and between checks whether
	// the index is loaded.
	storeRetryDelay = 60 * time.Millisecond
)

// Indeterminate reports that it is unknown whether an update of the index has
// taken or will take effect.
var Indeterminate = Errors.NewType("unsure", errorx.Temporary())

// Index is the partition of job records together with its replayed state.
type Index struct {
	partition keyedlog.Partition
	follower  *keyedlog.Follower
	state     *IndexState
	sem       chan struct{} // holds one token: one update at a time
}

// NewIndex returns an Index over partition, which follower replays into state.
func NewIndex(partition keyedlog.Partition, follower *keyedlog.Follower, state *IndexState) *Index {
	idx := &Index{partition: partition, follower: follower, state: state, sem: make(chan struct{}, 1)}
	idx.sem <- struct{}{}
	return idx
}

// update appends the records that decide returns for the state at the end of
// the partition. If another entry has appended meanwhile, it reads on and calls
// decide again. decide is called with the state locked; if it returns no
// records, nothing is appended.
//
// Failed appends are retried until ctx ends. update then returns Indeterminate
// if an append may have taken or may still take effect, and another error if none
// did.
func (idx *Index) update(ctx context.Context, decide func(*IndexState) ([]keyedlog.Record, error)) error {
	select {
	case <-idx.sem:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { idx.sem <- struct{}{} }()
	indeterminate := false
	for {
		at, loaded := idx.follower.NextOffset()
		if !loaded {
			if !sleep.For(ctx, storeRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		idx.state.mu.Lock()
		records, err := decide(idx.state)
		idx.state.mu.Unlock()
		if err != nil || len(records) == 0 {
			return err
		}
		_, err = idx.partition.Append(ctx, at, records)
		if err == nil {
			idx.follower.ApplyAppended(at, records)
			return nil
		}
		indeterminate = indeterminate || errorx.IsOfType(err, keyedlog.Unavailable)
		if !idx.prepareRetry(ctx, err) {
			if indeterminate {
				return Indeterminate.Wrap(err, "append to the job index was not acknowledged")
			}
			return err
		}
	}
}

// prepareRetry waits for the delay that follows err from an append and refreshes the
// replayed index. It returns false once ctx has ended.
func (idx *Index) prepareRetry(ctx context.Context, err error) bool {
	delay := storeRetryDelay
	if conflict := (*keyedlog.ConflictError)(nil); errors.As(err, &conflict) {
		delay = conflictRetryDelay
	}
	if !sleep.For(ctx, delay) {
		return false
	}
	// If the refresh fails, the next append fails too and is retried.
	_ = idx.follower.Refresh(ctx)
	return ctx.Err() == nil
}
