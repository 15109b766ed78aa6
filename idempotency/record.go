// Package idempotency lets a call that may not be repeated be resent safely:
// with an Idempotency-Key, a begin entry goes to the platform's log before the
// call runs, and the first begin of a key in offset order is the only one that
// runs. Resends through any entry get the stored answer, or hear that the
// outcome is unknown.
//
// Keys are spread over a few streams. Each stream has a home, the entry that
// ranks first for it; the home groups the entries of many calls into one
// record. Homes are for efficiency only: with two at once, or none that knows
// of the others, the order of offsets still decides.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Key identifies a call: its customer, route and Idempotency-Key.
type Key [16]byte

// KeyOf returns the key of a call.
func KeyOf(customer, route, header string) Key {
	return Key(digest(customer, route, header))
}

// Body identifies the content of a call: its method, path and body.
type Body [16]byte

// BodyOf returns the content of a call.
func BodyOf(method, path string, body []byte) Body {
	return Body(digest(method, path, string(body)))
}

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

// Kind says what an Event is.
type Kind string

// The kinds of events.
const (
	Begin Kind = "begin" // the holder of the token is about to run the call
	Void  Kind = "void"  // the holder of the token has not run it and won't
	End   Kind = "end"   // the call ran; Answer is nil if its outcome is unknown
)

// Event is one step of a call. A record holds a JSON array of events.
type Event struct {
	Kind   Kind      `json:"kind"`
	Key    Key       `json:"key"`
	Token  string    `json:"token"` // unique per request
	Body   Body      `json:"body"`
	Until  time.Time `json:"until,omitzero"` // deadline of the call, with Begin
	Answer *Answer   `json:"answer,omitempty"`
}

// as returns an event of another kind on the same call.
func (e Event) as(k Kind) Event {
	return Event{Kind: k, Key: e.Key, Token: e.Token, Body: e.Body}
}

// Answer is what the first caller got.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	TooLarge    bool   `json:"too_large,omitempty"` // Body was not kept
}

// Verdict says what a begin led to.
type Verdict int

// The verdicts.
const (
	NotBegun       Verdict = iota // nobody has begun it
	Run                           // this token runs it
	Answered                      // it ran; the answer is known
	Running                       // another token may be running it
	OutcomeUnknown                // it may have run; its answer never came
	Conflict                      // the key was used with another content
	Refused                       // the log can't be asked; the begin is not in it
	Indeterminate                 // the log can't be asked; the begin may be in it
)
