package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/invariant"
)

// drainStartGrace is the time after the start of the drain during which queued
// work may still start.
const drainStartGrace = time.Second

// drainState counts the work in flight and refuses new work once the drain has
// started.
type drainState struct {
	mu        sync.Mutex
	inFlight  int
	startedAt time.Time     // start of the drain
	started   chan struct{} // closed when the drain starts
	drained   chan struct{} // closed when the drain has started and no work is in flight
}

func newDrainState() *drainState {
	return &drainState{started: make(chan struct{}), drained: make(chan struct{})}
}

// draining returns a channel that is closed when the drain starts.
func (d *drainState) draining() <-chan struct{} { return d.started }

func (d *drainState) isDraining() bool {
	select {
	case <-d.started:
		return true
	default:
		return false
	}
}

// add counts a unit of work as in flight. It returns false if the drain has
// started. Each successful call must be followed by one of done.
func (d *drainState) add() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDraining() {
		return false
	}
	d.inFlight++
	return true
}

// done ends a unit of work counted by add.
func (d *drainState) done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 && d.isDraining() {
		close(d.drained)
	}
}

// start starts the drain. Further calls have no effect.
func (d *drainState) start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDraining() {
		return
	}
	d.startedAt = now
	close(d.started)
	if d.inFlight == 0 {
		close(d.drained)
	}
}

// mayStart reports whether queued work may still start: the drain has not
// started, or less than drainStartGrace before now.
func (d *drainState) mayStart(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isDraining() || now.Sub(d.startedAt) < drainStartGrace
}

// inFlightCount returns the units of work in flight.
func (d *drainState) inFlightCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// StartDrain refuses new work from now on. Queued requests are refused as not
// run. Waiting items, and idempotent items in flight, which are cancelled, are
// returned to their owners. Requests and other items in flight continue. Further
// calls have no effect.
func (s *Sidecar) StartDrain() { s.drain.start(time.Now()) }

// Draining reports whether the drain has started.
func (s *Sidecar) Draining() bool { return s.drain.isDraining() }

// Drain calls StartDrain and waits until all work has ended and all results are
// reported. It returns the error of ctx if that ends first.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.StartDrain()
	select {
	case <-s.drain.drained:
		return s.batch.flush(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes idle connections to the endpoint. If the drain has started, Close
// must be called after Drain has returned.
func (s *Sidecar) Close() {
	if s.Draining() {
		n := s.drain.inFlightCount()
		s.deps.Invariants.Check(n == 0, invariant.ShutdownCutsNothing, "sidecar closed with %d requests and items in flight", n)
	}
	s.transport.CloseIdleConnections()
}
