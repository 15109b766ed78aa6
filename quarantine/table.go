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
	maxDigests = 4096 // requests held, over all shards
	maxCrashes = 8    // crashes held for each request

	// If more than massLossThreshold endpoints are lost within massLossWindow,
	// the cause is taken to be a failure of the network or of a data centre. A
	// loss then counts only against a request that was in flight at no less than
	// the fraction massLossMinShare of the lost endpoints.
	massLossThreshold = 3
	massLossWindow    = 2 * time.Second
	massLossMinShare  = 0.5
)

const tableShards = 16

// Event is one crash recorded against a request or against parts of its prompt, or, with
// Cleared, the fact that the request has been cleared of that crash. Events may be merged
// in any order and any number of times.
type Event struct {
	Digest  Digest    `json:"digest"`
	Attempt string    `json:"attempt"` // ID of the attempt that was in flight, or the incarnation of the endpoint
	At      time.Time `json:"at"`      // when the crash was recorded
	// Customer is the customer that sent the request.
	Customer string `json:"customer,omitempty"`
	// Alone reports that the endpoint was seen to crash while it ran nothing
	// else.
	Alone   bool `json:"alone,omitempty"`
	Cleared bool `json:"cleared,omitempty"`
	// Unconfirmed reports that the endpoint fell silent and could not be reached, and that
	// it is not known yet whether it crashed. It counts for unconfirmedDuration.
	Unconfirmed bool `json:"unconfirmed,omitempty"`

	// An event with Parts counts against these parts of the prompt, in their order, and
	// not against the request. Sound holds those that were shown to be sound since.
	Parts []string `json:"parts,omitempty"`
	Sound []string `json:"sound,omitempty"`
	// Endpoint is the incarnation of the endpoint that crashed, and Begun says that it had
	// sent the header of its response and no event; set in events with Parts.
	Endpoint string `json:"endpoint,omitempty"`
	Begun    bool   `json:"begun,omitempty"`
}

// Crash is the crash or loss of an endpoint with an attempt in flight.
type Crash struct {
	Digest   Digest
	Customer string
	Request  string // ID of the request, for logs; may be empty
	Attempt  string // ID of the attempt
	Endpoint string // instance ID of the endpoint
	// Incarnation distinguishes the starts of the endpoint, if its instance ID does not.
	Incarnation int64
	Kind        api.Crash
	// PromptParts holds the IDs of the parts of the prompt that other requests may
	// share; empty if they are unknown.
	PromptParts []string
	// HeaderReceived says that the endpoint had sent the response header of the attempt.
	HeaderReceived bool
	// Events counts the events of the response received so far from all endpoints.
	Events int64
}

// Table holds the crashes recorded against requests. It does no I/O: the
// caller replicates the events that RecordCrash and RecordSuccess return, and
// merges those of other tables. It is safe for concurrent use.
type Table struct {
	shards   [tableShards]tableShard
	size     atomic.Int64 // number of digests held
	massLoss massLossDetector

	customers customerTracker
	parts     *partTable
}

type tableShard struct {
	mu      sync.Mutex
	digests map[Digest][]Event
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{parts: newPartTable()}
	for i := range t.shards {
		t.shards[i].digests = make(map[Digest][]Event)
	}
	return t
}

func (t *Table) shard(d Digest) *tableShard { return &t.shards[d[0]%tableShards] }

// Empty reports whether no request and no prompt part has crashes recorded against it.
func (t *Table) Empty() bool { return t.size.Load() == 0 && t.parts.empty() }

// PartsQuarantined reports whether one of the parts of a prompt is quarantined.
func (t *Table) PartsQuarantined(parts []string, now time.Time) bool {
	return len(parts) > 0 && t.parts.anyQuarantined(parts, now)
}

// RecordSoundParts records that a response was long enough to show that the parts of its
// prompt do not crash endpoints; see MinSoundEvents. It returns the events to replicate.
func (t *Table) RecordSoundParts(parts []string, now time.Time) []Event {
	return t.parts.recordSound(parts, now)
}

// Verdict returns the verdict on request d of customer. A request without a
// verdict of its own is a suspect while its customer is isolated.
func (t *Table) Verdict(d Digest, customer string, now time.Time) Verdict {
	if t.size.Load() == 0 {
		return Clear
	}
	s := t.shard(d)
	s.mu.Lock()
	v := verdict(s.digests[d], now)
	s.mu.Unlock()
	if v == Clear && t.customers.isolated(customer, now) {
		return Suspect
	}
	return v
}

// RecordCrash records a crash. It returns the event to replicate, and false if
// there is none: the crash was known, or is part of a mass loss.
func (t *Table) RecordCrash(c Crash, now time.Time) (Event, bool) {
	if c.Kind == api.CrashLost && t.massLoss.record(c.Endpoint, c.Digest, now) {
		return Event{}, false
	}
	e := Event{Digest: c.Digest, Attempt: c.Attempt, At: now, Customer: c.Customer, Alone: c.Kind == api.CrashAlone}
	return e, t.Merge(e, now)
}

// RecordPartCrash records a crash against the parts of the prompt that it accuses. It
// returns the event to replicate, and false if there is none.
func (t *Table) RecordPartCrash(c Crash, now time.Time) (Event, bool) {
	parts := t.parts.accusedParts(c, now)
	if len(parts) == 0 {
		return Event{}, false
	}
	e := Event{
		Digest:   c.Digest,
		Attempt:  c.Attempt,
		At:       now,
		Customer: c.Customer,
		Parts:    parts,
		Endpoint: c.incarnation(),
		Begun:    c.HeaderReceived && c.Events == 0,
	}
	return e, t.Merge(e, now)
}

// recordAll records a crash against the request and against the parts of its prompt. It
// returns the events to replicate.
func (t *Table) recordAll(c Crash, now time.Time) []Event {
	var events []Event
	if e, ok := t.RecordCrash(c, now); ok {
		events = append(events, e)
	}
	if e, ok := t.RecordPartCrash(c, now); ok {
		events = append(events, e)
	}
	return events
}

// RecordSuccess records that d completed, which clears it of all crashes. It
// returns the events to replicate.
func (t *Table) RecordSuccess(d Digest, _ time.Time) []Event {
	if t.size.Load() == 0 {
		return nil
	}
	t.customers.remove(d)
	s := t.shard(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	var cleared []Event
	for i, e := range s.digests[d] {
		if e.Cleared {
			continue
		}
		e.Cleared = true
		s.digests[d][i] = e
		cleared = append(cleared, e)
	}
	return cleared
}

// Merge merges an event of this entry or of another one, and reports whether it
// changed the table. Events older than QuarantineDuration are ignored.
func (t *Table) Merge(e Event, now time.Time) bool {
	if now.Sub(e.At) >= QuarantineDuration {
		return false
	}
	if len(e.Parts) > 0 {
		return t.parts.merge(e, now)
	}
	changed, v := t.merge(e, now)
	if changed && v == Quarantined {
		t.customers.add(e.Customer, e.Digest, e.At)
	} else if changed && e.Cleared {
		t.customers.remove(e.Digest)
	}
	return changed
}

// merge merges e into the shard of its digest. It returns the new verdict too.
func (t *Table) merge(e Event, now time.Time) (changed bool, v Verdict) {
	s := t.shard(e.Digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, held := s.digests[e.Digest]
	if i := slices.IndexFunc(crashes, func(o Event) bool { return o.Attempt == e.Attempt }); i >= 0 {
		confirms := crashes[i].Unconfirmed && !e.Unconfirmed
		changed = e.Cleared && !crashes[i].Cleared || e.Alone && !crashes[i].Alone || confirms
		crashes[i].Cleared = crashes[i].Cleared || e.Cleared
		crashes[i].Alone = crashes[i].Alone || e.Alone
		crashes[i].Unconfirmed = crashes[i].Unconfirmed && e.Unconfirmed
		return changed, verdict(crashes, now)
	}
	if !held {
		t.size.Add(int64(1 - s.evict(now)))
	}
	crashes = sortAndTrim(append(crashes, e))
	s.digests[e.Digest] = crashes
	return true, verdict(crashes, now)
}

// sortAndTrim orders crashes by time and attempt ID and returns the newest
// maxCrashes, so that all tables keep the same ones.
func sortAndTrim(crashes []Event) []Event {
	slices.SortFunc(crashes, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Attempt, b.Attempt)
	})
	if len(crashes) > maxCrashes {
		return slices.Clone(crashes[len(crashes)-maxCrashes:])
	}
	return crashes
}

// evict makes room for one digest if the shard is full: it drops the digests
// that have expired or, if there are none, the one whose last crash is the
// oldest. It returns the number of dropped digests. The caller holds the lock.
func (s *tableShard) evict(now time.Time) (dropped int) {
	if len(s.digests) < maxDigests/tableShards {
		return 0
	}
	if n := s.expire(now); n > 0 {
		return n
	}
	var oldest Digest
	var at time.Time
	for d, crashes := range s.digests {
		last := crashes[len(crashes)-1].At
		if at.IsZero() || last.Before(at) {
			oldest, at = d, last
		}
	}
	delete(s.digests, oldest)
	return 1
}

// expire drops the digests whose verdict is Clear and whose last crash is older
// than SuspectDuration. It returns their number. The caller holds the lock.
func (s *tableShard) expire(now time.Time) (dropped int) {
	for d, crashes := range s.digests {
		last := crashes[len(crashes)-1].At
		if verdict(crashes, now) == Clear && now.Sub(last) >= SuspectDuration {
			delete(s.digests, d)
			dropped++
		}
	}
	return dropped
}

// Expire drops the requests whose verdict is Clear and whose last crash is older
// than SuspectDuration, and accusations of prompt parts that are as old.
func (t *Table) Expire(now time.Time) {
	t.parts.expire(now)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.size.Add(-int64(s.expire(now)))
		s.mu.Unlock()
	}
}

// Events returns all events held, to be merged into another table.
func (t *Table) Events() []Event {
	out := t.parts.events()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, crashes := range s.digests {
			out = append(out, crashes...)
		}
		s.mu.Unlock()
	}
	return out
}
