// Package lane schedules the slots of one endpoint. Online requests have strict
// priority over batch items and share the slots fairly among customers; batch
// items run in slots that online requests leave idle and may be preempted. The
// online requests and the batch items are called the two lanes.
//
// Queue starts no goroutines and reads no clock: every method takes the time as
// an argument and returns a Decision that the caller carries out.
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
	Cost         float64 // estimated tokens, prompt and response
	PromptTokens float64 // part of Cost that belongs to the prompt
	Deadline     time.Time
}

// Item is one batch item.
type Item struct {
	ID string
	// Preemptible items may be stopped and run again. Online requests are
	// admitted as if the items that aren't preemptible took no slots.
	Preemptible  bool
	Resumable    bool    // preemption loses no generated tokens
	PromptTokens float64 // tokens computed before the first one of the response
}

// Refusal is the refusal of a waiting request, which was never started.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a request was refused.
type Reason int

// The reasons of refusals.
const (
	QueueFull    Reason = iota + 1 // too many requests wait, and this customer has the largest backlog
	DeadlineMiss                   // the estimated wait exceeds the deadline
	EndpointCold                   // as QueueFull, while the endpoint is cold and starts are limited
)

// Decision is what the caller has to do now. It is valid until the next call of
// a method of the queue.
type Decision struct {
	Start   []string  // requests and items to send to the endpoint
	Preempt []string  // items to stop; FinishItem or RequeueItem must follow for each
	Refuse  []Refusal // requests to refuse, with the reason
	// Wake, if set, is the time at which Tick is to be called.
	Wake time.Time
}

// Options configure a Queue.
type Options struct {
	Slots     int // requests and items that the endpoint runs at once
	MaxQueued int // maximum number of waiting online requests; 0 means DefaultMaxQueued
	Limit     BatchLimit
	// FirstTokenRatio, if set, bounds the time to the first token of online
	// requests, as a multiple of its estimated 99th percentile without batch.
	// Items are preempted to keep the bound, as far as that shortens the time.
	FirstTokenRatio float64
	Policy          Policy
	// Invariants checks that online requests go before batch items; may be nil.
	Invariants *invariant.Set
}

// DefaultMaxQueued is the default maximum number of waiting online requests.
const DefaultMaxQueued = 512

// Policy selects the scheduling policy. All but the zero value are baselines
// for measurements.
type Policy int

// The policies.
const (
	PreemptivePriority    Policy = iota // strict priority of online requests; items are preempted
	NonPreemptivePriority               // the same, but a running item is never preempted
	FIFO                                // one queue for requests and items, in order of arrival
)
