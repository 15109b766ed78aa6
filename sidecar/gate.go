package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/api"
)

const (
	// lingerFor is how long a call that was cut counts as running: the
	// endpoint may die of it a little later.
	cancelledGrace = 250 * time.Millisecond
	// crashKept is how long it is known what ran when the endpoint crashed.
	crashRetention = 2 * time.Minute
)

// gate knows which attempts the endpoint runs, lets suspects run alone, and
// keeps what ran when the endpoint crashed.
type gate struct {
	mu            sync.Mutex
	running       map[string]time.Time // attempt -> end, if it was cut; zero: it runs
	crashes       map[string]crash     // by attempt
	suspects      []*suspect           // the first one holds the turn
	onlineSuspect string               // attempt of the online suspect that runs
	attemptEnded  chan struct{}        // closed when an attempt ends
}

// crash is what was seen when the endpoint crashed with an attempt.
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

// enter notes that an attempt starts. It returns false if a suspect runs or
// waits here; batch items that are suspects make way for online requests.
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

// enterAlone waits until nothing else runs and notes that the suspect at its
// turn starts.
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
		linger := time.NewTimer(cancelledGrace)
		select {
		case <-changed:
		case <-linger.C:
		case <-ctx.Done():
		}
		linger.Stop()
	}
	return false
}

// startsBeside says whether an attempt that starts now does so beside an online
// suspect.
func (g *gate) runsBesideSuspect(attempt string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onlineSuspect != "" && g.onlineSuspect != attempt
}

// leave notes that an attempt has ended, or was cut.
func (g *gate) end(attempt string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut {
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

// lost notes that the endpoint was lost with an attempt. What ran with the
// first attempt that notices counts for all of them.
func (g *gate) recordCrash(attempt string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if _, ok := g.crashes[attempt]; ok {
		return
	}
	kind := api.CrashBeside
	if len(g.running) == 1 {
		kind = api.CrashAlone
	}
	for id, end := range g.running {
		if _, ok := g.crashes[id]; !ok && end.IsZero() {
			g.crashes[id] = crash{kind: kind, at: now}
		}
	}
}

// crashOf returns what was seen when the endpoint crashed with an attempt.
func (g *gate) crashOf(attempt string) api.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes[attempt].kind
}

// expire drops what no longer counts. The caller holds the lock.
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
