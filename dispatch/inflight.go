package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// errUnresponsive is the cause with which the attempts of idempotent calls at an
// endpoint are cancelled once it doesn't respond to probes or is no longer a
// member.
var errUnresponsive = errors.New("endpoint does not respond to probes or is no longer a member")

const inFlightShards = 16

// inFlightAttempts holds the attempts of idempotent calls in flight at each
// endpoint, so that they can be cancelled and retried elsewhere when it stops
// responding. It is safe for concurrent use.
type inFlightAttempts struct{ shards [inFlightShards]inFlightShard }

type inFlightShard struct {
	mu       sync.Mutex
	attempts map[string]map[*attempt]context.CancelCauseFunc
}

func newInFlightAttempts() *inFlightAttempts {
	f := &inFlightAttempts{}
	for i := range f.shards {
		f.shards[i].attempts = make(map[string]map[*attempt]context.CancelCauseFunc)
	}
	return f
}

func (f *inFlightAttempts) shard(id string) *inFlightShard {
	return &f.shards[xxhash.Sum64String(id)%inFlightShards]
}

func (f *inFlightAttempts) add(a *attempt, cancel context.CancelCauseFunc) {
	s := f.shard(a.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts, ok := s.attempts[a.endpoint.ID]
	if !ok {
		attempts = make(map[*attempt]context.CancelCauseFunc)
		s.attempts[a.endpoint.ID] = attempts
	}
	attempts[a] = cancel
}

func (f *inFlightAttempts) remove(a *attempt) {
	s := f.shard(a.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts[a.endpoint.ID], a)
	if len(s.attempts[a.endpoint.ID]) == 0 {
		delete(s.attempts, a.endpoint.ID)
	}
}

// cancelAll cancels the attempts at an endpoint with errUnresponsive.
func (f *inFlightAttempts) cancelAll(endpoint string) {
	s := f.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.attempts[endpoint] {
		cancel(errUnresponsive)
	}
}
