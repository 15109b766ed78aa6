package authn

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
)

// MaxCancelDelay is the maximum time from when a withdrawal takes effect at the
// entry until the calls of the withdrawn key have ended.
const MaxCancelDelay = 2 * time.Second

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("authn")

// errWithdrawn is the cancellation cause of the calls of a withdrawn key;
// streams end with this error.
var errWithdrawn = api.NewError(http.StatusUnauthorized, api.CodeBadKey, "the key was withdrawn")

const callShards = 32

// ActiveCalls is the registry of running calls that have a key, so that they can
// be cancelled when the key is withdrawn. It is safe for concurrent use.
type ActiveCalls struct {
	invariants *invariant.Set
	shards     [callShards]callShard
}

// callShard holds the calls of the keys that hash to it.
type callShard struct {
	mu    sync.Mutex
	calls map[string]map[*activeCall]struct{} // key ID -> calls
}

// activeCall is one running call that has a key.
type activeCall struct {
	keyID       string
	key         config.Key // as it was when the call was received
	cancel      context.CancelCauseFunc
	cancelledAt time.Time // zero if the call was not cancelled
}

// NewActiveCalls returns an empty registry that reports violations to
// invariants.
func NewActiveCalls(invariants *invariant.Set) *ActiveCalls {
	a := &ActiveCalls{invariants: invariants}
	for i := range a.shards {
		a.shards[i].calls = make(map[string]map[*activeCall]struct{})
	}
	return a
}

func (a *ActiveCalls) shard(keyID string) *callShard {
	return &a.shards[xxhash.Sum64String(keyID)%callShards]
}

// add registers a call.
func (a *ActiveCalls) add(keyID string, key config.Key, cancel context.CancelCauseFunc) *activeCall {
	call := &activeCall{keyID: keyID, key: key, cancel: cancel}
	shard := a.shard(keyID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.calls[keyID] == nil {
		shard.calls[keyID] = make(map[*activeCall]struct{})
	}
	shard.calls[keyID][call] = struct{}{}
	return call
}

// remove removes a call that has ended and asserts that it ended in time.
func (a *ActiveCalls) remove(call *activeCall, now time.Time) {
	shard := a.shard(call.keyID)
	shard.mu.Lock()
	calls := shard.calls[call.keyID]
	delete(calls, call)
	if len(calls) == 0 {
		delete(shard.calls, call.keyID)
	}
	cancelledAt := call.cancelledAt
	shard.mu.Unlock()
	a.checkEnded(call, cancelledAt, now)
}

// CancelInvalid cancels the calls whose key was removed, changed or withdrawn in
// snapshot. It must be called whenever a new snapshot takes effect.
func (a *ActiveCalls) CancelInvalid(snapshot *config.Snapshot, now time.Time) {
	for i := range a.shards {
		for _, call := range a.shards[i].markCancelled(snapshot, now) {
			call.cancel(errWithdrawn)
		}
	}
}

// markCancelled marks the calls whose key is no longer valid and returns those
// that were not marked before.
func (shard *callShard) markCancelled(snapshot *config.Snapshot, now time.Time) []*activeCall {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var marked []*activeCall
	for _, calls := range shard.calls {
		for call := range calls {
			if call.cancelledAt.IsZero() && !keyUnchanged(snapshot, call.keyID, call.key) {
				call.cancelledAt = now
				marked = append(marked, call)
			}
		}
	}
	return marked
}

// keyUnchanged reports whether the key is valid and the same as when the call was
// received.
func keyUnchanged(snapshot *config.Snapshot, keyID string, key config.Key) bool {
	current, ok := snapshot.State.Keys[keyID]
	return ok && current == key && !current.Withdrawn
}

// Check asserts that no call still runs later than MaxCancelDelay after it was
// cancelled. Run calls it every second.
func (a *ActiveCalls) Check(now time.Time) {
	for i := range a.shards {
		for call, cancelledAt := range a.shards[i].cancelled() {
			a.checkEnded(call, cancelledAt, now)
		}
	}
}

// cancelled returns the running calls that were cancelled, with the time of the
// cancellation.
func (shard *callShard) cancelled() map[*activeCall]time.Time {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := make(map[*activeCall]time.Time)
	for _, calls := range shard.calls {
		for call := range calls {
			if !call.cancelledAt.IsZero() {
				found[call] = call.cancelledAt
			}
		}
	}
	return found
}

func (a *ActiveCalls) checkEnded(call *activeCall, cancelledAt, now time.Time) {
	a.invariants.Check(cancelledAt.IsZero() || now.Sub(cancelledAt) <= MaxCancelDelay, invariant.WithdrawnKeyStops,
		"a call with key %s still ran %v after the key was withdrawn; the limit is %v", call.keyID, now.Sub(cancelledAt), MaxCancelDelay)
}

// Len returns the number of running calls that have a key.
func (a *ActiveCalls) Len() int {
	n := 0
	for i := range a.shards {
		shard := &a.shards[i]
		shard.mu.Lock()
		for _, calls := range shard.calls {
			n += len(calls)
		}
		shard.mu.Unlock()
	}
	return n
}

// Run calls Check every second until ctx ends.
func (a *ActiveCalls) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.Check(now)
		case <-ctx.Done():
			return
		}
	}
}
