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

// MaxCancelDelay is the time within which the calls of a withdrawn key end, once
// the withdrawal is in force at the entry.
const MaxCancelDelay = 2 * time.Second

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("authn")

// errWithdrawn is the cause with which the calls of a withdrawn key are
// cancelled; streams end with it.
var errWithdrawn = api.NewError(http.StatusUnauthorized, api.CodeBadKey, "the key was withdrawn")

const sessionShards = 32

// ActiveCalls holds the calls that run with a key, so that they can be stopped
// when the key is withdrawn.
type ActiveCalls struct {
	checks *invariant.Set
	shards [sessionShards]sessionShard
}

// sessionShard holds the calls of some keys under a lock of its own.
type sessionShard struct {
	mu    sync.Mutex
	calls map[string]map[*session]struct{} // key id -> calls
}

// session is one call that runs with a key.
type session struct {
	keyID     string
	key       config.Key // as it was when the call came in
	cancel    context.CancelCauseFunc
	withdrawn time.Time // when the call was stopped; zero: it runs
}

// NewActiveCalls returns a registry without calls.
func NewActiveCalls(checks *invariant.Set) *ActiveCalls {
	s := &ActiveCalls{checks: checks}
	for i := range s.shards {
		s.shards[i].calls = make(map[string]map[*session]struct{})
	}
	return s
}

func (s *ActiveCalls) shard(keyID string) *sessionShard {
	return &s.shards[xxhash.Sum64String(keyID)%sessionShards]
}

// add registers a call.
func (s *ActiveCalls) add(keyID string, key config.Key, cancel context.CancelCauseFunc) *session {
	call := &session{keyID: keyID, key: key, cancel: cancel}
	shard := s.shard(keyID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.calls[keyID] == nil {
		shard.calls[keyID] = make(map[*session]struct{})
	}
	shard.calls[keyID][call] = struct{}{}
	return call
}

// remove drops a call that has ended.
func (s *ActiveCalls) remove(call *session, now time.Time) {
	shard := s.shard(call.keyID)
	shard.mu.Lock()
	calls := shard.calls[call.keyID]
	delete(calls, call)
	if len(calls) == 0 {
		delete(shard.calls, call.keyID)
	}
	withdrawn := call.withdrawn
	shard.mu.Unlock()
	s.checkStopped(call, withdrawn, now)
}

// CancelInvalid stops the calls whose key is no longer valid in snapshot, which has
// just come into force.
func (s *ActiveCalls) CancelInvalid(snapshot *config.Snapshot, now time.Time) {
	for i := range s.shards {
		for _, call := range s.shards[i].stop(snapshot, now) {
			call.cancel(errWithdrawn)
		}
	}
}

// stop marks the calls to be stopped and returns them.
func (shard *sessionShard) stop(snapshot *config.Snapshot, now time.Time) []*session {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var stopped []*session
	for _, calls := range shard.calls {
		for call := range calls {
			if call.withdrawn.IsZero() && !valid(snapshot, call.keyID, call.key) {
				call.withdrawn = now
				stopped = append(stopped, call)
			}
		}
	}
	return stopped
}

// valid reports whether the key is still what it was when the call came in.
func valid(snapshot *config.Snapshot, keyID string, key config.Key) bool {
	now, ok := snapshot.State.Keys[keyID]
	return ok && now == key && !now.Withdrawn
}

// Check asserts that no stopped call still runs. It is called every now and
// then.
func (s *ActiveCalls) Check(now time.Time) {
	for i := range s.shards {
		for call, withdrawn := range s.shards[i].stopped() {
			s.checkStopped(call, withdrawn, now)
		}
	}
}

func (shard *sessionShard) stopped() map[*session]time.Time {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := make(map[*session]time.Time)
	for _, calls := range shard.calls {
		for call := range calls {
			if !call.withdrawn.IsZero() {
				found[call] = call.withdrawn
			}
		}
	}
	return found
}

func (s *ActiveCalls) checkStopped(call *session, withdrawn, now time.Time) {
	s.checks.Check(withdrawn.IsZero() || now.Sub(withdrawn) <= MaxCancelDelay, invariant.WithdrawnKeyStops,
		"a call with key %s runs %v after the key was withdrawn", call.keyID, now.Sub(withdrawn))
}

// Len returns the number of calls that run with a key.
func (s *ActiveCalls) Len() int {
	n := 0
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for _, calls := range shard.calls {
			n += len(calls)
		}
		shard.mu.Unlock()
	}
	return n
}

// Run asserts every second that stopped calls end, until ctx ends.
func (s *ActiveCalls) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.Check(now)
		case <-ctx.Done():
			return
		}
	}
}
