package online

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
)

// Times of the watch over one attempt.
const (
	// silenceTimeout is the time without a byte of a response after which it is checked
	// whether the endpoint can still be reached. It doubles with each check.
	silenceTimeout = time.Second
	// maxSilenceChecks bounds the checks since the last byte. A request may wait at the
	// endpoint before it begins to run.
	maxSilenceChecks = 4
	// probeTimeout bounds a check: a connection attempt within a region.
	probeTimeout = 250 * time.Millisecond
	// probeTTL is how long the result of a check counts for others of the same endpoint.
	probeTTL = 500 * time.Millisecond
)

// silenceWatch watches one attempt for the silence of its endpoint. A request that crashes
// endpoints does so as its response begins, so that the watch ends after a few events. It goes
// on after an attempt that ended without a response: a timeout or a caller that gave up does
// not say whether the endpoint has crashed.
type silenceWatch struct {
	service  *Service
	call     *pipeline.Call
	endpoint placement.Endpoint

	headerReceived atomic.Bool
	events         atomic.Int64

	mu     sync.Mutex
	timer  *time.Timer // nil before begin
	checks int         // since the last byte
	ended  bool
}

// watchEndpoint prepares the watch over the attempt at the endpoint of ex.
func (ex *execution) watchEndpoint() {
	ex.watch = &silenceWatch{service: ex.Service, call: ex.call, endpoint: ex.endpoint}
	ex.watches = append(ex.watches, ex.watch)
}

// endWatches ends all watches: the request was served, so that it crashes no endpoints.
func (ex *execution) endWatches() {
	for _, w := range ex.watches {
		w.end()
	}
}

// begin starts the watch, right before the request is sent.
func (w *silenceWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(silenceTimeout, w.check)
	}
}

// heard records that the endpoint sent a part of the response: its header, or an event.
func (w *silenceWatch) heard(event bool) {
	w.headerReceived.Store(true)
	if event && w.events.Add(1) >= quarantine.MinSoundEvents {
		w.end()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks = 0
	if !w.ended && w.timer != nil {
		w.timer.Reset(silenceTimeout)
	}
}

// end ends the watch: the endpoint was heard for long enough, or the connection was closed by
// it or never used.
func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check reports the silence of the endpoint if it was not heard of late and can't be reached.
// Otherwise it checks again later.
func (w *silenceWatch) check() {
	s, key := w.service, w.endpoint.Key()
	if s.Table.Leaving(key) {
		return
	}
	silent := !s.Table.HeardSince(key, s.Clock()-silenceTimeout/2) && !s.probes.reachable(s.Pool, w.endpoint.Address)
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.checks++
	w.ended = silent || w.checks >= maxSilenceChecks
	if !w.ended {
		w.timer.Reset(silenceTimeout << w.checks)
	}
	w.mu.Unlock()
	if silent {
		s.Table.Suspend(key, s.Clock())
		s.Silences.Report(w.crash())
	}
}

// crash returns the crash of the endpoint, as far as it is one.
func (w *silenceWatch) crash() quarantine.Crash {
	return quarantine.Crash{
		Digest:   quarantine.DigestOfCall(w.call),
		Customer: w.call.Customer,
		Request:  w.call.ID,
		Endpoint: w.endpoint.ID,
		Kind:     api.CrashLost,

		Incarnation:    w.endpoint.StartMs,
		PromptParts:    w.call.PromptParts,
		HeaderReceived: w.headerReceived.Load(),
		Events:         w.events.Load(),
	}
}

// probes holds the latest connection attempts to silent endpoints by address, so that the
// requests at one endpoint share them. It is safe for concurrent use.
type probes struct {
	mu     sync.Mutex
	byAddr map[string]*probe
}

// probe is one connection attempt.
type probe struct {
	started   time.Time
	done      chan struct{} // closed when reachable is set
	reachable bool
}

// reachable reports whether the endpoint at addr accepts connections, or did so less than
// probeTTL ago.
func (p *probes) reachable(prober quarantine.Prober, addr string) bool {
	current, first := p.current(addr)
	if first {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		current.reachable = prober.Reachable(ctx, addr)
		close(current.done)
	}
	<-current.done
	return current.reachable
}

// current returns the probe of addr to wait for, and whether the caller has to make it.
func (p *probes) current(addr string) (*probe, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, old := range p.byAddr {
		if now.Sub(old.started) >= probeTTL {
			delete(p.byAddr, a)
		}
	}
	if known := p.byAddr[addr]; known != nil {
		return known, false
	}
	if p.byAddr == nil {
		p.byAddr = make(map[string]*probe)
	}
	c := &probe{started: now, done: make(chan struct{})}
	p.byAddr[addr] = c
	return c, true
}
