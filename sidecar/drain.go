package sidecar

import (
	"context"
	"sync"
)

// drainState counts the requests under way and refuses new ones once the
// endpoint is leaving.
type drainState struct {
	mu       sync.Mutex
	left     bool
	inFlight int
	idle     chan struct{} // closed when leaving and nothing is under way
}

func (d *drainState) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left
}

// enter counts a new request, or returns false if the endpoint is leaving.
func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return false
	}
	d.inFlight++
	return true
}

func (d *drainState) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.signal()
}

// start makes the endpoint leaving and returns a channel that is closed when
// nothing is under way any more.
func (d *drainState) start() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
	if d.idle == nil {
		d.idle = make(chan struct{})
		d.signal()
	}
	return d.idle
}

// signal closes idle once. The caller holds the lock.
func (d *drainState) signal() {
	if d.idle == nil || d.inFlight > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// Drain refuses new work from now on and returns once all requests under way
// have ended, or with the error of ctx.
func (s *Sidecar) Drain(ctx context.Context) error {
	select {
	case <-s.drain.start():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes idle connections to the endpoint.
func (s *Sidecar) Close() { s.transport.CloseIdleConnections() }
