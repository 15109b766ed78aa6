package idempotency

import (
	"encoding/json"
	"time"

	"dandelionrelay/infra"
)

// DedupWindow is how long a key is known after its begin, unless the log's
// retention is too short for it.
const DedupWindow = time.Hour

// maxCalls bounds the keys known of one stream.
const maxCalls = 100_000

// Table replays one stream. It is passive, and not safe for concurrent use.
// Its state depends on the records alone, so all tables agree.
type Table struct {
	window time.Duration
	calls  map[Key]*call
	order  []begun // in order of records
	next   infra.Offset
}

// call is a key that was begun.
type call struct {
	token  string
	body   Body
	until  time.Time
	at     time.Time // of the begin's record
	ended  bool
	stored infra.Offset // of the record with the answer; 0: outcome unknown
}

type begun struct {
	key   Key
	token string
	at    time.Time
}

// NewTable returns an empty table that reads from offset next on and knows
// keys for window.
func NewTable(window time.Duration, next infra.Offset) *Table {
	return &Table{window: window, calls: make(map[Key]*call), next: next}
}

// NextOffset returns the offset of the record to apply next.
func (t *Table) NextOffset() infra.Offset { return t.next }

// Full says that no further key can be known.
func (t *Table) Full() bool { return len(t.calls) >= maxCalls }

// Apply replays the next record. Records before Next are ignored.
func (t *Table) Apply(r infra.Record) {
	if r.Offset < t.next {
		return
	}
	t.next = r.Offset + 1
	t.expire(r.Time)
	var events []Event
	if json.Unmarshal(r.Data, &events) != nil {
		return
	}
	for _, e := range events {
		t.apply(e, r)
	}
}

func (t *Table) apply(e Event, r infra.Record) {
	c, held := t.calls[e.Key]
	switch {
	case e.Kind == Begin && !held:
		t.calls[e.Key] = &call{token: e.Token, body: e.Body, until: e.Until, at: r.Time}
		t.order = append(t.order, begun{key: e.Key, token: e.Token, at: r.Time})
	case e.Kind == Begin || !held || c.token != e.Token || c.ended:
		return
	case e.Kind == Void:
		delete(t.calls, e.Key)
	case e.Kind == End:
		c.ended = true
		if e.Answer != nil {
			c.stored = r.Offset
		}
	}
}

// expire forgets the keys whose begin lies more than the window before now,
// the time of a record.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && now.Sub(t.order[n].at) > t.window {
		if c, ok := t.calls[t.order[n].key]; ok && c.token == t.order[n].token {
			delete(t.calls, t.order[n].key)
		}
		n++
	}
	t.order = t.order[n:]
}

// Lookup returns the verdict on a request with that token, and where the answer
// is stored if there is one.
func (t *Table) Lookup(key Key, body Body, token string, now time.Time) (Verdict, infra.Offset) {
	c, held := t.calls[key]
	switch {
	case !held:
		return NotBegun, 0
	case c.body != body:
		return Conflict, 0
	case c.token == token && !c.ended:
		return Run, 0
	case c.stored != 0:
		return Answered, c.stored
	case c.ended || now.After(c.until):
		return OutcomeUnknown, 0
	}
	return Running, 0
}

// OwnerToken returns the token that runs the call of key, or "".
func (t *Table) OwnerToken(key Key) string {
	if c, held := t.calls[key]; held {
		return c.token
	}
	return ""
}

// answerOf finds the answer to key in a record.
func answerOf(r infra.Record, key Key) *Answer {
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
