// Package lane decides what an endpoint runs now: online requests strictly
// before batch items, fair among customers, with batch only in idle slots.
//
// Queue is passive: it starts nothing and keeps no time. Every method takes
// the time as an argument and returns a Decision that the caller carries out.
package lane

import (
	"time"

	"dandelionrelay/invariant"
)

// Request is one online request.
type Request struct {
	ID           string
	Customer     string
	Weight       float64 // fair share weight of the customer; 0 means 1
	Cost         float64 // estimated tokens, prompt and answer
	PromptTokens float64 // of them, of the prompt
	Deadline     time.Time
}

// Item is one batch item.
type Item struct {
	ID string
	// Preemptible items may be cut and run again. Online requests are
	// admitted as if the others weren't there.
	Preemptible  bool
	Resumable    bool    // a cut loses no tokens
	PromptTokens float64 // tokens computed before the first one of the answer
}

// Refusal ends a waiting request. It never started.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a request was refused.
type Reason int

// The reasons of refusals.
const (
	QueueFull    Reason = iota + 1 // too many wait, most of them of this customer
	DeadlineMiss                   // the estimated wait exceeds the deadline
)

// Decision is what the caller does now. It is valid until the next call of a
// method of the queue.
type Decision struct {
	Start   []string  // requests and items to hand to the endpoint
	Preempt []string  // items to cut; each is followed by a call of Ended
	Refuse  []Refusal // requests to answer
	// Wake, if set, is when Tick is to be called.
	Wake time.Time
}

// Options configure a Queue.
type Options struct {
	Slots     int // requests that the endpoint runs at once
	MaxQueued int // online requests that wait; 0 means DefaultMaxQueued
	Limit     BatchLimit
	// FirstTokenRatio, if set, is the time to the first token that online
	// requests have at most, over the 99th percentile without batch. Items are
	// cut for it, as far as that helps.
	FirstTokenRatio float64
	Policy          Policy
	// Invariants checks that online goes before batch; may be nil.
	Invariants *invariant.Set
}

// DefaultMaxQueued bounds the online requests that wait.
const DefaultMaxQueued = 512

// Policy selects the scheme. All but the zero value are baselines for
// measurements.
type Policy int

// The policies.
const (
	PreemptivePriority    Policy = iota
	NonPreemptivePriority        // lanes, but a running item is never cut
	FIFO                         // one queue for requests and items, in order of arrival
)
