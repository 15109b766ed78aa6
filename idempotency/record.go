// Package idempotency lets callers safely resend calls that must run at most
// once. Before a call with an Idempotency-Key runs, a Begin event is appended to
// the platform's log; of all begins of a key, only the first in offset order takes
// effect, unless it is voided because the call did not run. Resends through any
// entry get the stored response, or an error that says that the call is running or
// that its outcome is unknown.
//
// Keys are partitioned over streamCount streams of the log. Each stream has a
// coordinator, the live entry that ranks first for it by rendezvous hashing. It
// appends the events of many calls as one record (group commit). Coordinators
// are an optimisation only: if several entries act as the coordinator of a
// stream, the order of offsets still decides which call runs.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Key identifies a call: its customer, route and Idempotency-Key.
type Key [16]byte

// KeyOf returns the key of a call. header is the value of its Idempotency-Key.
func KeyOf(customer, route, header string) Key {
	return Key(digest(customer, route, header))
}

// Body is a digest of the content of a call: its method, path and body.
type Body [16]byte

// BodyOf returns the digest of the content of a call. path includes the query
// string.
func BodyOf(method, path string, body []byte) Body {
	return Body(digest(method, path, string(body)))
}

// digest returns the first 16 bytes of a SHA-256 over the SHA-256 sums of parts.
func digest(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h.Write(sum[:])
	}
	return h.Sum(nil)[:16]
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(k[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(b []byte) error {
	_, err := hex.Decode(k[:], b)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Body) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Body) UnmarshalText(b []byte) error {
	_, err := hex.Decode(d[:], b)
	return err
}

// Kind is the kind of an Event.
type Kind string

// The kinds of events.
const (
	Begin Kind = "begin" // the holder of the token is about to run the call
	Void  Kind = "void"  // the holder of the token has not run the call and will not run it
	End   Kind = "end"   // the call ended; Answer is nil if its outcome is unknown
)

// Event is a change of the state of a call. A record of the log holds a JSON
// array of events.
type Event struct {
	Kind   Kind      `json:"kind"`
	Key    Key       `json:"key"`
	Token  string    `json:"token"` // unique to each request with the key
	Body   Body      `json:"body"`
	Until  time.Time `json:"until,omitzero"` // deadline of the call plus clockMargin; set in a Begin
	Answer *Answer   `json:"answer,omitempty"`
}

// withKind returns an event of kind k for the same call and token.
func (e Event) withKind(k Kind) Event {
	return Event{Kind: k, Key: e.Key, Token: e.Token, Body: e.Body}
}

// Answer is the stored response of a call. The names Answer of fields are part of
// stored records and of the RPC.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	TooLarge    bool   `json:"too_large,omitempty"` // the body exceeded maxResponseBytes and was not kept
}

// Verdict is the result of a begin or a lookup.
type Verdict int

// The verdicts.
const (
	NotBegun       Verdict = iota // no begin of the key is in effect
	Run                           // the holder of this token runs the call
	Answered                      // the call ran; its response is stored
	Running                       // the holder of another token may be running the call
	OutcomeUnknown                // the call may have run; no response is stored
	Conflict                      // the key was used with other content
	// Refused: undecided. The log can't be read, the queue or the table is full,
	// the wait ended before the begin was appended, or the stored response can't
	// be read. The replying coordinator has appended no begin of this token that
	// is in effect, and the token does not run the call.
	Refused
	Indeterminate // undecided: the begin may be in the log, now or later
)
