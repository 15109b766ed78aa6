package quarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
)

// Limits of a Table.
const (
	maxDigests = 4096 // kept at once, over all shards
	maxDeaths  = 8    // kept of one digest

	// More instances lost within massWindow are a failure of the network or of
	// a site: past massEndpoints only requests are suspected that were in
	// flight at massShare of them.
	massEndpoints = 3
	massWindow    = 2 * time.Second
	massShare     = 0.5
)

const tableShards = 16

// Event is one death held against a request, or that it has been cleared of
// it. Events may be merged in any order, any number of times.
type Event struct {
	Digest  Digest    `json:"digest"`
	Attempt string    `json:"attempt"` // id of the attempt that was in flight
	At      time.Time `json:"at"`
	// Customer is whose request it is.
	Customer string `json:"customer,omitempty"`
	// Alone says that the endpoint was seen to crash while it ran nothing else.
	Alone   bool `json:"alone,omitempty"`
	Cleared bool `json:"cleared,omitempty"`
}

// Crash is an endpoint lost while an attempt was in flight there.
type Crash struct {
	Digest   Digest
	Customer string
	Request  string // id of the request, for logs; may be empty
	Attempt  string // id of the attempt
	Endpoint string // instance id
	Kind     api.Crash
}

// Table holds the deaths held against requests. It is passive: the driver
// spreads the events that its methods return, and merges those of others.
type Table struct {
	shards [tableShards]tableShard
	size   atomic.Int64 // digests held
	mass   massLoss

	customers offenders
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

// Verdict returns what is thought of d, a request of customer.
func (t *Table) Verdict(d Digest, customer string, now time.Time) Verdict {
	if t.Empty() {
		return Clear
	}
	s := t.shard(d)
	s.mu.Lock()
	v := verdict(s.digests[d], now)
	s.mu.Unlock()
	if v == Clear && t.customers.confined(customer, now) {
		return Suspect
	}
	return v
}

// RecordCrash records a death. It returns the event to spread; none if many endpoints
// die at once.
func (t *Table) RecordCrash(x Crash, now time.Time) (Event, bool) {
	if x.Kind == api.CrashLost && t.mass.lost(x.Endpoint, x.Digest, now) {
		return Event{}, false
	}
	e := Event{Digest: x.Digest, Attempt: x.Attempt, At: now, Customer: x.Customer, Alone: x.Kind == api.CrashAlone}
	return e, t.Merge(e, now)
}

// RecordSuccess records that a run of d came to its end, which clears it of all
// deaths. It returns the events to spread.
func (t *Table) RecordSuccess(d Digest, _ time.Time) []Event {
	if t.Empty() {
		return nil
	}
	t.customers.forget(d)
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
	if now.Sub(e.At) >= QuarantineDuration {
		return false
	}
	news, v := t.merge(e, now)
	if news && v == Quarantined {
		t.customers.note(e.Customer, e.Digest, e.At)
	} else if news && e.Cleared {
		t.customers.forget(e.Digest)
	}
	return news
}

// merge is Merge within the digest's shard. It returns the new verdict too.
func (t *Table) merge(e Event, now time.Time) (news bool, v Verdict) {
	s := t.shard(e.Digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	deaths, held := s.digests[e.Digest]
	if i := slices.IndexFunc(deaths, func(o Event) bool { return o.Attempt == e.Attempt }); i >= 0 {
		news = e.Cleared && !deaths[i].Cleared || e.Alone && !deaths[i].Alone
		deaths[i].Cleared = deaths[i].Cleared || e.Cleared
		deaths[i].Alone = deaths[i].Alone || e.Alone
		return news, verdict(deaths, now)
	}
	if !held {
		t.size.Add(int64(1 - s.makeRoom(now)))
	}
	deaths = keepNewest(append(deaths, e))
	s.digests[e.Digest] = deaths
	return true, verdict(deaths, now)
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
		if verdict(deaths, now) == Clear && now.Sub(last) >= SuspectDuration {
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
