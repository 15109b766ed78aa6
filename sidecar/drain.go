package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/invariant"
)

// leavingGrace is the time after which a leaving endpoint starts nothing.
const leavingGrace = time.Second

// drainState counts the work under way and refuses more once the endpoint is
// leaving.
type drainState struct {
	mu       sync.Mutex
	inFlight int
	since    time.Time     // when leaving began
	left     chan struct{} // closed when leaving begins
	idle     chan struct{} // closed when leaving and nothing is under way
}

func newDrainState() *drainState {
	return &drainState{left: make(chan struct{}), idle: make(chan struct{})}
}

// leaving returns a channel that is closed once the endpoint is leaving.
func (d *drainState) leaving() <-chan struct{} { return d.left }

func (d *drainState) isLeaving() bool {
	select {
	case <-d.left:
		return true
	default:
		return false
	}
}

// enter counts new work, or returns false if the endpoint is leaving.
func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLeaving() {
		return false
	}
	d.inFlight++
	return true
}

func (d *drainState) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.inFlight == 0 && d.isLeaving() {
		close(d.idle)
	}
}

// start makes the endpoint leaving.
func (d *drainState) start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLeaving() {
		return
	}
	d.since = now
	close(d.left)
	if d.inFlight == 0 {
		close(d.idle)
	}
}

// mayStart reports whether queued work may still start: leaving has not begun
// or only just.
func (d *drainState) mayStart(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isLeaving() || now.Sub(d.since) < leavingGrace
}

func (d *drainState) underWay() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// StartDrain refuses new work from now on. Requests that wait are refused too, as
// not run; batch items are cut and returned; streams go on.
func (s *Sidecar) StartDrain() { s.drain.start(time.Now()) }

// Draining reports whether the endpoint is leaving.
func (s *Sidecar) Draining() bool { return s.drain.isLeaving() }

// Drain calls StartDrain and returns once all work has ended and all results are
// reported, or with the error of ctx.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.StartDrain()
	select {
	case <-s.drain.idle:
		return s.batch.flush(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes idle connections to the endpoint. A leaving sidecar is closed
// after Drain.
func (s *Sidecar) Close() {
	if s.Draining() {
		n := s.drain.underWay()
		s.deps.Invariants.Check(n == 0, invariant.ShutdownCutsNothing, "closed with %d requests under way", n)
	}
	s.transport.CloseIdleConnections()
}
