package sidecar

import (
	"context"
	"net/http"
	"time"

	"dandelionrelay/api"
)

const (
	// suspectRetryAfter is the Retry-After of requests that are refused because
	// of suspects here. It is added to the reported queue wait while there are
	// any.
	suspectRetryAfter = time.Second
	// maxSuspects bounds the suspects that run or wait at the sidecar.
	maxSuspects = 16
	// maxSuspectsPerCustomer bounds the suspects of one customer.
	maxSuspectsPerCustomer = 4
)

// suspect is a request or item during whose run an endpoint has crashed. It
// holds this endpoint exclusively, or waits for it. It must run alone: if another
// attempt ran beside it, a further crash could not be attributed to either.
type suspect struct {
	customer string
	batch    bool
	preempt  func()        // stops a batch item, which is then returned to its owner; nil if it must not be cancelled, and for online requests
	granted  chan struct{} // closed when the suspect holds the endpoint
}

func newSuspect(customer string) *suspect {
	return &suspect{customer: customer, granted: make(chan struct{})}
}

// isolationError returns the error for a request that can't run or wait here
// because of a suspect.
func isolationError(message string) *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, message)
	return e.WithRetryAfter(suspectRetryAfter)
}

// enqueue adds s to the queue of suspects, the first of which holds the endpoint
// exclusively. A batch item is refused unless the queue is empty. A batch item
// that holds the endpoint is stopped if it may be cancelled, also if s is then
// refused.
func (g *gate) enqueue(s *suspect) *api.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) > 0 {
		g.preemptHolder()
	}
	if len(g.suspects) >= maxSuspects || s.batch && len(g.suspects) > 0 {
		return isolationError("other suspect requests run here")
	}
	same := 0
	for _, other := range g.suspects {
		if other.customer == s.customer {
			same++
		}
	}
	if same >= maxSuspectsPerCustomer {
		return isolationError("other suspect requests of the customer run here")
	}
	g.suspects = append(g.suspects, s)
	if len(g.suspects) == 1 {
		close(s.granted)
	}
	return nil
}

// preemptHolder cancels a batch item that holds the endpoint, if it may be
// cancelled. The caller holds the lock.
func (g *gate) preemptHolder() {
	if s := g.suspects[0]; s.batch && s.preempt != nil {
		go s.preempt()
	}
}

// release removes s from the queue of suspects. If s held the endpoint, the next
// suspect gets it.
func (g *gate) release(s *suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.suspects {
		if g.suspects[i] != s {
			continue
		}
		g.suspects = append(g.suspects[:i:i], g.suspects[i+1:]...)
		if i == 0 && len(g.suspects) > 0 {
			close(g.suspects[0].granted)
		}
		return
	}
}

// hasSuspects reports whether suspects run or wait here.
func (g *gate) hasSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) > 0
}

// admitsOnline reports whether an online request that is not a suspect may be
// queued here: no suspect holds the endpoint, or it is a batch item.
func (g *gate) admitsOnline() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) == 0 || g.suspects[0].batch
}

// acquireExclusive waits until an online suspect holds the endpoint exclusively,
// and returns the idempotent items in flight to their owners. release must be
// called once the request has ended.
func (s *Sidecar) acquireExclusive(ctx context.Context, customer string) (release func(), e *api.Error) {
	holder := newSuspect(customer)
	if e := s.gate.enqueue(holder); e != nil {
		return nil, e
	}
	release = func() { s.gate.release(holder) }
	select {
	case <-holder.granted:
		s.batch.evictItems()
		return release, nil
	case <-s.drain.draining():
		e = unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	case <-ctx.Done():
		e = isolationError("the deadline passed behind other suspect requests")
	}
	release()
	return nil, e
}

// evictItems returns the idempotent items in flight to their owners, except for
// suspects.
func (b *batchRunner) evictItems() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.items {
		if run.Idempotent && run.exclusive == nil {
			run.stop()
		}
	}
}

// isSuspect reports whether h marks a request as a suspect.
func isSuspect(h http.Header) bool { return h.Get(api.HeaderSuspect) == "1" }
