package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// errSilent ends attempts at an endpoint that shows no sign of life.
var errSilent = errors.New("endpoint is silent")

const watchShards = 16

// watch holds the repeatable attempts under way at each endpoint, so that
// they can be ended when it falls silent.
type watch struct{ shards [watchShards]watchShard }

type watchShard struct {
	mu       sync.Mutex
	attempts map[string]map[*attempt]context.CancelCauseFunc
}

func newWatch() *watch {
	w := &watch{}
	for i := range w.shards {
		w.shards[i].attempts = make(map[string]map[*attempt]context.CancelCauseFunc)
	}
	return w
}

func (w *watch) shard(id string) *watchShard {
	return &w.shards[xxhash.Sum64String(id)%watchShards]
}

func (w *watch) add(a *attempt, cancel context.CancelCauseFunc) {
	s := w.shard(a.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	set, ok := s.attempts[a.endpoint.ID]
	if !ok {
		set = make(map[*attempt]context.CancelCauseFunc)
		s.attempts[a.endpoint.ID] = set
	}
	set[a] = cancel
}

func (w *watch) remove(a *attempt) {
	s := w.shard(a.endpoint.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts[a.endpoint.ID], a)
	if len(s.attempts[a.endpoint.ID]) == 0 {
		delete(s.attempts, a.endpoint.ID)
	}
}

// silent ends the attempts at an endpoint.
func (w *watch) silent(endpoint string) {
	s := w.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.attempts[endpoint] {
		cancel(errSilent)
	}
}
