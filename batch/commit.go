package batch

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/keyedlog"
	"dandelionrelay/sleep"
)

// Pauses between tries to append to the index.
const (
	conflictPause = 3 * time.Millisecond
	refusedPause  = 60 * time.Millisecond
)

// Indeterminate says that a change of the index may take effect or not.
var Indeterminate = Errors.NewType("unsure", errorx.Temporary())

// Index is the partition of jobs with its replayed state.
type Index struct {
	partition keyedlog.Partition
	follower  *keyedlog.Follower
	ledger    *IndexState
	turn      chan struct{} // holds one token: one change at a time
}

// NewIndex returns an Index over partition, which follower replays into ledger.
func NewIndex(partition keyedlog.Partition, follower *keyedlog.Follower, ledger *IndexState) *Index {
	x := &Index{partition: partition, follower: follower, ledger: ledger, turn: make(chan struct{}, 1)}
	x.turn <- struct{}{}
	return x
}

// change appends the records that decide returns for the state at the end of
// the partition, and decides anew whenever that end has moved. decide is
// called with the ledger locked; without records there is nothing to do.
//
// With ctx ended, change fails with Unsure if an append may yet take effect,
// and with another error if none did.
func (x *Index) change(ctx context.Context, decide func(*IndexState) ([]keyedlog.Record, error)) error {
	select {
	case <-x.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { x.turn <- struct{}{} }()
	unsure := false
	for {
		at, loaded := x.follower.NextOffset()
		if !loaded {
			if !sleep.For(ctx, refusedPause) {
				return ctx.Err()
			}
			continue
		}
		x.ledger.mu.Lock()
		records, err := decide(x.ledger)
		x.ledger.mu.Unlock()
		if err != nil || len(records) == 0 {
			return err
		}
		_, err = x.partition.Append(ctx, at, records)
		if err == nil {
			x.follower.ApplyAppended(at, records)
			return nil
		}
		unsure = unsure || errorx.IsOfType(err, keyedlog.Unavailable)
		if !x.recover(ctx, err) {
			if unsure {
				return Indeterminate.Wrap(err, "the index did not answer")
			}
			return err
		}
	}
}

// recover reads on after a failed append; it returns false once ctx has ended.
func (x *Index) recover(ctx context.Context, err error) bool {
	pause := refusedPause
	if conflict := (*keyedlog.ConflictError)(nil); errors.As(err, &conflict) {
		pause = conflictPause
	}
	if !sleep.For(ctx, pause) {
		return false
	}
	// A failure shows again at the next append.
	_ = x.follower.Refresh(ctx)
	return ctx.Err() == nil
}
