package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/invariant"
)

// leavingGrace is the time after which a leaving endpoint starts nothing.
const drainStartGrace = time.Second

// drainState counts the work under way and refuses more once the endpoint is
// leaving.
type drainState struct {
	mu        sync.Mutex
	inFlight  int
	startedAt time.Time     // when leaving began
	started   chan struct{} // closed when leaving begins
	drained   chan struct{} // closed when leaving and nothing is under way
}

func newDrainState() *drainState {
	return &drainState{started: make(chan struct{}), drained: make(chan struct{})}
}

// leaving returns a channel that is closed once the endpoint is leaving.
func (d *drainState) draining() <-chan struct{} { return d.started }

func (d *drainState) isDraining() bool {
	select {
	case <-d.started:
		return true
	default:
		return false
	}
}

// enter counts new work, or returns false if the endpoint is leaving.
func (d *drainState) add() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDraining() {
		return false
	}
	d.inFlight++
	return true
}

func (d *drainState) done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 && d.isDraining() {
		close(d.drained)
	}
}

// start makes the endpoint leaving.
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

// mayStart reports whether queued work may still start: leaving has not begun
// or only just.
func (d *drainState) mayStart(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isDraining() || now.Sub(d.startedAt) < drainStartGrace
}

func (d *drainState) inFlightCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// StartDrain refuses new work from now on. Requests that wait are refused too, as
// not run; batch items are cut and returned; streams go on.
func (s *Sidecar) StartDrain() { s.drain.start(time.Now()) }

// Draining reports whether the endpoint is leaving.
func (s *Sidecar) Draining() bool { return s.drain.isDraining() }

// Drain calls StartDrain and returns once all work has ended and all results are
// reported, or with the error of ctx.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.StartDrain()
	select {
	case <-s.drain.drained:
		return s.batch.flush(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes idle connections to the endpoint. A leaving sidecar is closed
// after Drain.
func (s *Sidecar) Close() {
	if s.Draining() {
		n := s.drain.inFlightCount()
		s.deps.Invariants.Check(n == 0, invariant.ShutdownCutsNothing, "closed with %d requests under way", n)
	}
	s.transport.CloseIdleConnections()
}
