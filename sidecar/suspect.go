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
	maxSuspectsOfCustomer = 4
)

// suspect is a request that an endpoint has died of, at its turn or waiting
// for it. It runs while nothing else does: were another to run beside it, the
// next death would not tell which one it was.
type suspect struct {
	customer string
	batch    bool
	cut      func()        // of a batch item that may be cut; else nil
	turn     chan struct{} // closed when it holds the turn
}

func newSuspect(customer string) *suspect {
	return &suspect{customer: customer, turn: make(chan struct{})}
}

// isolated returns the error for work that can't run beside a suspect.
func isolated(message string) *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, message)
	return e.WithRetryAfter(suspectRetryAfter)
}

// queue takes a place in the line of suspects, the first of which holds the
// turn. A batch item gets none unless it is the first.
func (g *gate) queue(x *suspect) *api.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.line) > 0 {
		g.yieldTurn()
	}
	if len(g.line) >= maxSuspects || x.batch && len(g.line) > 0 {
		return isolated("other suspect requests run here")
	}
	same := 0
	for _, o := range g.line {
		if o.customer == x.customer {
			same++
		}
	}
	if same >= maxSuspectsOfCustomer {
		return isolated("other suspect requests of the customer run here")
	}
	g.line = append(g.line, x)
	if len(g.line) == 1 {
		close(x.turn)
	}
	return nil
}

// yieldTurn cuts a batch item that holds the turn. The caller holds the lock.
func (g *gate) yieldTurn() {
	if x := g.line[0]; x.batch && x.cut != nil {
		go x.cut()
	}
}

// dequeue gives up the place of x and hands on the turn.
func (g *gate) dequeue(x *suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.line {
		if g.line[i] != x {
			continue
		}
		g.line = append(g.line[:i:i], g.line[i+1:]...)
		if i == 0 && len(g.line) > 0 {
			close(g.line[0].turn)
		}
		return
	}
}

// isolating says whether suspects run or wait here.
func (g *gate) isolating() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.line) > 0
}

// admits says whether an online request may be queued here: not beside a
// suspect that is online too.
func (g *gate) admits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.line) == 0 || g.line[0].batch
}

// isolate has an online suspect wait for its turn. leave must be called once
// the request is over.
func (s *Sidecar) isolate(ctx context.Context, customer string) (leave func(), e *api.Error) {
	x := newSuspect(customer)
	if e := s.gate.queue(x); e != nil {
		return nil, e
	}
	leave = func() { s.gate.dequeue(x) }
	select {
	case <-x.turn:
		s.batch.evict()
		return leave, nil
	case <-s.drain.leaving():
		e = unavailable(api.CodeNoEndpoint, "the endpoint is leaving")
	case <-ctx.Done():
		e = isolated("the deadline passed behind other suspect requests")
	}
	leave()
	return nil, e
}

// evict returns the items under way that may be repeated, but for a suspect,
// to their owners.
func (b *batchRunner) evict() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.items {
		if run.Idempotent && run.turn == nil {
			run.stop()
		}
	}
}

// suspicious says whether an endpoint has died of the request with header h.
func suspicious(h http.Header) bool { return h.Get(api.HeaderSuspect) == "1" }
