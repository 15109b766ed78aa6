package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/api"
)

const (
	// cancelledGrace is how long a cancelled call still counts as running: it
	// may crash the endpoint shortly after the cancellation.
	cancelledGrace = 250 * time.Millisecond
	// crashRetention is how long the attempts that a crash affected are kept.
	crashRetention = 2 * time.Minute
)

// gate admits attempts to the endpoint. It tracks the attempts in flight, has
// suspects run alone, and records which attempts were in flight when the
// endpoint crashed.
type gate struct {
	mu            sync.Mutex
	running       map[string]time.Time // attempt -> time of its cancellation; zero while it runs
	crashes       map[string]crash     // by attempt
	suspects      []*suspect           // in the order of arrival; the first holds the endpoint exclusively
	onlineSuspect string               // attempt of the online suspect in flight, if any
	attemptEnded  chan struct{}        // closed and replaced when an attempt ends
}

// crash records how the endpoint crashed while an attempt was in flight.
type crash struct {
	kind api.Crash
	at   time.Time
}

func newGate() *gate {
	return &gate{
		running:      make(map[string]time.Time),
		crashes:      make(map[string]crash),
		attemptEnded: make(chan struct{}),
	}
}

// begin registers the start of an attempt. It returns false if a suspect runs
// or waits here, except that an online attempt starts beside a batch item that
// holds the endpoint, which is stopped if it may be cancelled.
func (g *gate) begin(attempt string, online bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) > 0 {
		if !online || !g.suspects[0].batch {
			return false
		}
		g.preemptHolder()
	}
	g.running[attempt] = time.Time{}
	return true
}

// beginExclusive waits until no other attempt runs and registers the start of
// the suspect that holds the endpoint. It returns false if ctx ends first.
func (g *gate) beginExclusive(ctx context.Context, attempt string) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		g.expire(time.Now())
		if len(g.running) == 0 {
			g.running[attempt] = time.Time{}
			if len(g.suspects) > 0 && !g.suspects[0].batch {
				g.onlineSuspect = attempt
			}
			g.mu.Unlock()
			return true
		}
		changed := g.attemptEnded
		g.mu.Unlock()
		grace := time.NewTimer(cancelledGrace)
		select {
		case <-changed:
		case <-grace.C:
		case <-ctx.Done():
		}
		grace.Stop()
	}
	return false
}

// runsBesideSuspect reports whether an attempt that starts now would run beside
// another attempt that is an online suspect.
func (g *gate) runsBesideSuspect(attempt string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onlineSuspect != "" && g.onlineSuspect != attempt
}

// end records that an attempt has ended or was cancelled.
func (g *gate) end(attempt string, cancelled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cancelled {
		g.running[attempt] = time.Now()
	} else {
		delete(g.running, attempt)
	}
	if g.onlineSuspect == attempt {
		g.onlineSuspect = ""
	}
	g.expire(time.Now())
	close(g.attemptEnded)
	g.attemptEnded = make(chan struct{})
}

// recordCrash records that the endpoint crashed while an attempt was in flight.
// The first attempt that detects a crash determines its kind for all attempts
// in flight at that time.
func (g *gate) recordCrash(attempt string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if _, ok := g.crashes[attempt]; ok {
		return
	}
	kind := api.CrashWithOthers
	if len(g.running) == 1 {
		kind = api.CrashAlone
	}
	for id, end := range g.running {
		if _, ok := g.crashes[id]; !ok && end.IsZero() {
			g.crashes[id] = crash{kind: kind, at: now}
		}
	}
}

// crashOf returns how the endpoint crashed while an attempt was in flight, or
// NoCrash.
func (g *gate) crashOf(attempt string) api.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes[attempt].kind
}

// expire removes cancelled attempts after cancelledGrace and crashes after
// crashRetention. The caller holds the lock.
func (g *gate) expire(now time.Time) {
	for id, end := range g.running {
		if !end.IsZero() && now.Sub(end) >= cancelledGrace {
			delete(g.running, id)
		}
	}
	for id, c := range g.crashes {
		if now.Sub(c.at) >= crashRetention {
			delete(g.crashes, id)
		}
	}
}
