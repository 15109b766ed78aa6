package idempotency

import (
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// DedupWindow is how long a key is remembered after its begin. NewService uses a
// shorter window if the retention of the log requires it.
const DedupWindow = time.Hour

// maxKeys is the maximum number of keys held for one stream.
const maxKeys = 100_000

// Table is the state of the calls of one stream, replayed from its records. It
// does no I/O and is not safe for concurrent use. Its state depends on the records
// alone, so that the tables of all entries agree.
type Table struct {
	window     time.Duration
	calls      map[Key]*call
	begins     []beginRef // in the order of their records
	nextOffset infra.Offset
}

// call is the state of a key whose begin is in effect.
type call struct {
	token          string
	body           Body
	deadline       time.Time // Event.Until of the begin: the deadline of the call plus clockMargin
	beganAt        time.Time // time of the begin's record
	ended          bool
	responseOffset infra.Offset // offset of the record with the response; 0: none is stored
}

// beginRef is a begin that took effect, for the expiry of its key.
type beginRef struct {
	key   Key
	token string
	at    time.Time
}

// NewTable returns an empty table that is to be replayed from nextOffset and
// remembers a key for window after its begin.
func NewTable(window time.Duration, nextOffset infra.Offset) *Table {
	return &Table{window: window, calls: make(map[Key]*call), nextOffset: nextOffset}
}

// NextOffset returns the offset of the record to apply next.
func (t *Table) NextOffset() infra.Offset { return t.nextOffset }

// Full reports whether the table holds maxKeys keys.
func (t *Table) Full() bool { return len(t.calls) >= maxKeys }

// Apply applies the next record. Records before NextOffset, and records that
// can't be decoded, are ignored.
func (t *Table) Apply(r infra.Record) {
	if r.Offset < t.nextOffset {
		return
	}
	t.nextOffset = r.Offset + 1
	t.expire(r.Time)
	var events []Event
	if json.Unmarshal(r.Data, &events) != nil {
		return
	}
	for _, e := range events {
		t.apply(e, r)
	}
}

// apply applies one event of record r.
func (t *Table) apply(e Event, r infra.Record) {
	c, held := t.calls[e.Key]
	switch {
	case e.Kind == Begin && !held:
		t.calls[e.Key] = &call{token: e.Token, body: e.Body, deadline: e.Until, beganAt: r.Time}
		t.begins = append(t.begins, beginRef{key: e.Key, token: e.Token, at: r.Time})
	case e.Kind == Begin || !held || c.token != e.Token || c.ended:
		return
	case e.Kind == Void:
		delete(t.calls, e.Key)
	case e.Kind == End:
		c.ended = true
		if e.Answer != nil {
			c.responseOffset = r.Offset
		}
	}
}

// expire removes the keys whose begin is older than the window at now, the time
// of a record.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.begins) && now.Sub(t.begins[n].at) > t.window {
		if c, ok := t.calls[t.begins[n].key]; ok && c.token == t.begins[n].token {
			delete(t.calls, t.begins[n].key)
		}
		n++
	}
	t.begins = t.begins[n:]
}

// Lookup returns the verdict on a request with the given key, content and token
// and, if it is Answered, the offset of the record with the response.
func (t *Table) Lookup(key Key, body Body, token string, now time.Time) (Verdict, infra.Offset) {
	c, held := t.calls[key]
	switch {
	case !held:
		return NotBegun, 0
	case c.body != body:
		return Conflict, 0
	case c.token == token && !c.ended:
		return Run, 0
	case c.responseOffset != 0:
		return Answered, c.responseOffset
	case c.ended || now.After(c.deadline):
		return OutcomeUnknown, 0
	}
	return Running, 0
}

// OwnerToken returns the token whose begin of key is in effect, or "".
func (t *Table) OwnerToken(key Key) string {
	if c, held := t.calls[key]; held {
		return c.token
	}
	return ""
}

// responseOf returns the response of the call of key that record r holds, or nil.
func responseOf(r infra.Record, key Key) *Answer {
	var events []Event
	if json.Unmarshal(r.Data, &events) != nil {
		return nil
	}
	for _, e := range events {
		if e.Kind == End && e.Key == key && e.Answer != nil {
			return e.Answer
		}
	}
	return nil
}
