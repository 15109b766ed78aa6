package quarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Table.
const (
	// DeathsToQuarantine is how many endpoints may die of a request.
	DeathsToQuarantine = 2
	// SuspectFor is how long a death counts against a request.
	SuspectFor = 10 * time.Minute
	// QuarantineFor is how long a request stays quarantined after the last
	// death that counts.
	QuarantineFor = 24 * time.Hour

	maxDigests = 4096 // kept at once, over all shards
	maxDeaths  = 8    // kept of one digest

	// More endpoints dying within massWindow are a failure of the network or
	// of a site: no request is suspected of those past massEndpoints.
	massEndpoints = 3
	massWindow    = 2 * time.Second
)

const tableShards = 16

// Verdict is what a Table thinks of a request.
type Verdict int

// The verdicts.
const (
	Clear       Verdict = iota // run it
	Suspect                    // run it beside no other suspect
	Quarantined                // never run it
)

// Event is one death held against a request, or that it has been cleared of
// it. Events may be merged in any order, any number of times.
type Event struct {
	Digest  Digest    `json:"digest"`
	Attempt string    `json:"attempt"` // id of the attempt that was in flight
	At      time.Time `json:"at"`
	Cleared bool      `json:"cleared,omitempty"`
}

// Table holds the deaths held against requests. It is passive: the driver
// spreads the events that its methods return, and merges those of others.
type Table struct {
	shards [tableShards]tableShard
	size   atomic.Int64 // digests held
	mass   massLoss
}

type tableShard struct {
	mu      sync.Mutex
	digests map[Digest][]Event
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].digests = make(map[Digest][]Event)
	}
	return t
}

func (t *Table) shard(d Digest) *tableShard { return &t.shards[d[0]%tableShards] }

// Empty says that nothing is held against any request.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Verdict returns what is thought of d.
func (t *Table) Verdict(d Digest, now time.Time) Verdict {
	if t.Empty() {
		return Clear
	}
	s := t.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdict(s.digests[d], now)
}

// verdict judges the deaths held against one request, the oldest first.
func verdict(deaths []Event, now time.Time) Verdict {
	var open []Event
	for _, e := range deaths {
		if !e.Cleared {
			open = append(open, e)
		}
	}
	for i := len(open) - 1; i >= DeathsToQuarantine-1; i-- {
		first, last := open[i-DeathsToQuarantine+1], open[i]
		if last.At.Sub(first.At) <= SuspectFor && now.Sub(last.At) < QuarantineFor {
			return Quarantined
		}
	}
	if len(open) > 0 && now.Sub(open[len(open)-1].At) < SuspectFor {
		return Suspect
	}
	return Clear
}

// Died records that endpoint died while attempt, a run of d, was in flight
// there. It returns the event to spread; none if many endpoints die at once.
func (t *Table) Died(d Digest, attempt, endpoint string, now time.Time) (Event, bool) {
	if t.mass.died(endpoint, now) {
		return Event{}, false
	}
	e := Event{Digest: d, Attempt: attempt, At: now}
	return e, t.Merge(e, now)
}

// Finished records that a run of d came to its end, which clears it of all
// deaths. It returns the events to spread.
func (t *Table) Finished(d Digest, _ time.Time) []Event {
	if t.Empty() {
		return nil
	}
	s := t.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []Event
	for i, e := range s.digests[d] {
		if e.Cleared {
			continue
		}
		e.Cleared = true
		s.digests[d][i] = e
		news = append(news, e)
	}
	return news
}

// Merge takes in an event of another table and returns whether it was new.
func (t *Table) Merge(e Event, now time.Time) bool {
	if now.Sub(e.At) >= QuarantineFor {
		return false
	}
	s := t.shard(e.Digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	deaths, held := s.digests[e.Digest]
	if i := slices.IndexFunc(deaths, func(o Event) bool { return o.Attempt == e.Attempt }); i >= 0 {
		news := e.Cleared && !deaths[i].Cleared
		deaths[i].Cleared = deaths[i].Cleared || e.Cleared
		return news
	}
	if !held {
		t.size.Add(int64(1 - s.makeRoom(now)))
	}
	s.digests[e.Digest] = keepNewest(append(deaths, e))
	return true
}

// keepNewest orders deaths by time and drops the oldest past maxDeaths, so
// that all tables keep the same ones.
func keepNewest(deaths []Event) []Event {
	slices.SortFunc(deaths, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Attempt, b.Attempt)
	})
	if len(deaths) > maxDeaths {
		return slices.Clone(deaths[len(deaths)-maxDeaths:])
	}
	return deaths
}

// makeRoom drops digests that no longer matter if the shard is full, else the
// one with the oldest death. It returns how many went. The caller holds the
// lock.
func (s *tableShard) makeRoom(now time.Time) (dropped int) {
	if len(s.digests) < maxDigests/tableShards {
		return 0
	}
	if n := s.expire(now); n > 0 {
		return n
	}
	var oldest Digest
	var at time.Time
	for d, deaths := range s.digests {
		last := deaths[len(deaths)-1].At
		if at.IsZero() || last.Before(at) {
			oldest, at = d, last
		}
	}
	delete(s.digests, oldest)
	return 1
}

// expire drops digests that count for nothing any more. The caller holds the
// lock.
func (s *tableShard) expire(now time.Time) (dropped int) {
	for d, deaths := range s.digests {
		last := deaths[len(deaths)-1].At
		if verdict(deaths, now) == Clear && now.Sub(last) >= SuspectFor {
			delete(s.digests, d)
			dropped++
		}
	}
	return dropped
}

// Expire drops what counts for nothing any more.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.size.Add(-int64(s.expire(now)))
		s.mu.Unlock()
	}
}

// Events returns all that is held, for a table that starts empty.
func (t *Table) Events() []Event {
	var out []Event
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, deaths := range s.digests {
			out = append(out, deaths...)
		}
		s.mu.Unlock()
	}
	return out
}

// massLoss recognises many endpoints dying at once.
type massLoss struct {
	mu     sync.Mutex
	deaths map[string]time.Time // endpoint -> last death
}

// died records a death and returns whether it is part of a mass loss.
func (m *massLoss) died(endpoint string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, at := range m.deaths {
		if now.Sub(at) > massWindow {
			delete(m.deaths, id)
		}
	}
	if m.deaths == nil {
		m.deaths = make(map[string]time.Time)
	}
	m.deaths[endpoint] = now
	return len(m.deaths) > massEndpoints
}
