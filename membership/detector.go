package membership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing and thresholds of the failure detector.
const (
	// ProbeAfterSilence is the time without any part of a response after which an
	// endpoint with attempts in flight is probed.
	ProbeAfterSilence = time.Second
	// ProbeTimeout is the time for which a probe waits for its response.
	ProbeTimeout = 500 * time.Millisecond
	// MissedProbeThreshold is the number of consecutive missed probes after which a
	// silent endpoint is suspected.
	MissedProbeThreshold = 2

	firstProbeDelay = 200 * time.Millisecond // before the first probe after a failure
	maxProbeDelay   = 5 * time.Second        // upper bound of the delay after a missed probe
	idleStateTTL    = 10 * time.Minute       // time since the last event of an endpoint after which its state is dropped
)

const detectorShards = 16

// Detector is a failure detector for endpoints, based on the responses, failures and
// leaving notices that one process sees. It is passive: its caller gets the endpoints
// to probe from DueProbes and reports the results with RecordAlive and
// RecordMissedProbe. Its methods are safe for concurrent use.
type Detector struct {
	shards [detectorShards]detectorShard
}

type detectorShard struct {
	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// endpointState is what is known of one endpoint.
type endpointState struct {
	silentSince time.Time // last part of a response, successful probe or, if later, start of the first of the attempts in flight
	lastEvent   time.Time // last call of any recording method
	nextProbe   time.Time // earliest time of the next probe
	inFlight    int       // attempts in flight
	misses      int       // consecutive missed probes
	suspect     bool
	leaving     bool
	probing     bool // DueProbes returned the endpoint, and its probe has no result yet
}

// NewDetector returns a Detector that suspects no endpoint.
func NewDetector() *Detector {
	d := &Detector{}
	for i := range d.shards {
		d.shards[i].endpoints = make(map[string]*endpointState)
	}
	return d
}

func (d *Detector) shard(id string) *detectorShard {
	return &d.shards[xxhash.Sum64String(id)%detectorShards]
}

// update runs f on the state of id, which it creates if there is none, under the lock
// of its shard.
func (d *Detector) update(id string, now time.Time, f func(*endpointState)) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok {
		e = &endpointState{}
		s.endpoints[id] = e
	}
	e.lastEvent = now
	f(e)
}

// Usable reports whether id is neither suspected nor leaving.
func (d *Detector) Usable(id string) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	return !ok || !e.suspect && !e.leaving
}

// Leaving reports whether id has given notice that it is leaving.
func (d *Detector) Leaving(id string) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	return ok && e.leaving
}

// RecordLeaving records a leaving notice. The notice is not revoked by later responses,
// as an ID is never reused.
func (d *Detector) RecordLeaving(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) { e.leaving = true })
}

// BeginAttempt records that an attempt was sent to id and awaits its response.
func (d *Detector) BeginAttempt(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) {
		if e.inFlight == 0 {
			e.silentSince = now
		}
		e.inFlight++
	})
}

// EndAttempt records that an attempt at id has ended, with any outcome.
func (d *Detector) EndAttempt(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) { e.inFlight-- })
}

// RecordAlive records a complete response or a successful probe. It clears a suspicion.
func (d *Detector) RecordAlive(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) {
		e.silentSince = now
		e.misses = 0
		e.suspect = false
		e.probing = false
		e.nextProbe = time.Time{}
	})
}

// RecordProgress records a part of a response. It does not clear a suspicion, as the part
// may have been sent before the failure.
func (d *Detector) RecordProgress(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) { e.silentSince = now })
}

// RecordFailure records a refused or broken connection. It makes id suspected at once.
func (d *Detector) RecordFailure(id string, now time.Time) {
	d.update(id, now, func(e *endpointState) {
		if e.suspect {
			return
		}
		e.suspect = true
		e.nextProbe = now.Add(firstProbeDelay)
	})
}

// RecordMissedProbe records that a probe of id failed or timed out. It reports whether
// id is now suspected. The delay to the next probe doubles with each missed one, up to
// maxProbeDelay.
func (d *Detector) RecordMissedProbe(id string, now time.Time) (suspect bool) {
	d.update(id, now, func(e *endpointState) {
		e.probing = false
		e.misses++
		e.suspect = e.suspect || e.misses >= MissedProbeThreshold
		delay := firstProbeDelay << min(e.misses, 10)
		e.nextProbe = now.Add(min(delay, maxProbeDelay))
		suspect = e.suspect
	})
	return suspect
}

// DueProbes returns the IDs of the endpoints to probe now: suspected ones, and endpoints
// with attempts in flight that have been silent for ProbeAfterSilence. An endpoint is
// not returned again until the result of its probe is recorded. DueProbes also drops the
// state of endpoints that are not suspected, have no attempts in flight and had no event
// for idleStateTTL.
func (d *Detector) DueProbes(now time.Time) []string {
	var due []string
	for i := range d.shards {
		due = d.shards[i].due(now, due)
	}
	return due
}

// due implements DueProbes for one shard and appends the IDs to due.
func (s *detectorShard) due(now time.Time, due []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if e.inFlight == 0 && !e.suspect && now.Sub(e.lastEvent) > idleStateTTL {
			delete(s.endpoints, id)
			continue
		}
		silent := e.inFlight > 0 && now.Sub(e.silentSince) >= ProbeAfterSilence
		if e.probing || now.Before(e.nextProbe) || !silent && !e.suspect {
			continue
		}
		e.probing = true
		due = append(due, id)
	}
	return due
}

// Forget drops the state of id after its instance has been removed. It does nothing
// while attempts at id are in flight.
func (d *Detector) Forget(id string) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok && e.inFlight == 0 {
		delete(s.endpoints, id)
	}
}
