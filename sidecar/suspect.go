package sidecar

import (
	"context"
	"net/http"
	"time"

	"dandelionrelay/api"
)

const (
	// suspectRetryAfter is when work may come back to an endpoint that runs a
	// suspect.
	suspectRetryAfter = time.Second
	// maxSuspects is how many suspects may wait for their turn to run alone.
	maxSuspects = 16
	// maxSuspectsOfCustomer bounds those of one customer.
	maxSuspectsPerCustomer = 4
)

// suspect is a request that an endpoint has died of, at its turn or waiting
// for it. It runs while nothing else does: were another to run beside it, the
// next death would not tell which one it was.
type suspect struct {
	customer string
	batch    bool
	preempt  func()        // of a batch item that may be cut; else nil
	granted  chan struct{} // closed when it holds the turn
}

func newSuspect(customer string) *suspect {
	return &suspect{customer: customer, granted: make(chan struct{})}
}

// isolated returns the error for work that can't run beside a suspect.
func isolationError(message string) *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, message)
	return e.WithRetryAfter(suspectRetryAfter)
}

// queue takes a place in the line of suspects, the first of which holds the
// turn. A batch item gets none unless it is the first.
func (g *gate) enqueue(x *suspect) *api.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) > 0 {
		g.preemptHolder()
	}
	if len(g.suspects) >= maxSuspects || x.batch && len(g.suspects) > 0 {
		return isolationError("other suspect requests run here")
	}
	same := 0
	for _, o := range g.suspects {
		if o.customer == x.customer {
			same++
		}
	}
	if same >= maxSuspectsPerCustomer {
		return isolationError("other suspect requests of the customer run here")
	}
	g.suspects = append(g.suspects, x)
	if len(g.suspects) == 1 {
		close(x.granted)
	}
	return nil
}

// yieldTurn cuts a batch item that holds the turn. The caller holds the lock.
func (g *gate) preemptHolder() {
	if x := g.suspects[0]; x.batch && x.preempt != nil {
		go x.preempt()
	}
}

// dequeue gives up the place of x and hands on the turn.
func (g *gate) release(x *suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.suspects {
		if g.suspects[i] != x {
			continue
		}
		g.suspects = append(g.suspects[:i:i], g.suspects[i+1:]...)
		if i == 0 && len(g.suspects) > 0 {
			close(g.suspects[0].granted)
		}
		return
	}
}

// isolating says whether suspects run or wait here.
func (g *gate) hasSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) > 0
}

// admits says whether an online request may be queued here: not beside a
// suspect that is online too.
func (g *gate) admitsOnline() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) == 0 || g.suspects[0].batch
}

// isolate has an online suspect wait for its turn. leave must be called once
// the request is over.
func (s *Sidecar) acquireExclusive(ctx context.Context, customer string) (leave func(), e *api.Error) {
	x := newSuspect(customer)
	if e := s.gate.enqueue(x); e != nil {
		return nil, e
	}
	leave = func() { s.gate.release(x) }
	select {
	case <-x.granted:
		s.batch.evictItems()
		return leave, nil
	case <-s.drain.draining():
		e = unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	case <-ctx.Done():
		e = isolationError("the deadline passed behind other suspect requests")
	}
	leave()
	return nil, e
}

// evict returns the items under way that may be repeated, but for a suspect,
// to their owners.
func (b *batchRunner) evictItems() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.items {
		if run.Idempotent && run.exclusive == nil {
			run.stop()
		}
	}
}

// suspicious says whether an endpoint has died of the request with header h.
func isSuspect(h http.Header) bool { return h.Get(api.HeaderSuspect) == "1" }
