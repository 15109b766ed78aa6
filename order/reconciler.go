package order

import "time"

const (
	// readInterval is the time between two reads of the state of an engine that
	// serves its target.
	readInterval = 30 * time.Second
	// pollInterval is the time between two reads while the engine loads, and
	// after a failure.
	pollInterval = time.Second
	// conflictBackoff is how long a sidecar sends no orders after it found a later
	// order of another sidecar at its engine. Two sidecars overlap only while one
	// replaces the other.
	conflictBackoff = time.Minute
	// maxStateAge bounds the age of the engine's state when an order is sent.
	maxStateAge = time.Second
)

// Action is what the caller of a Reconciler does next.
type Action int

// The actions.
const (
	Sleep    Action = iota // until Step.Until
	Read                   // read the engine's state, then call StateRead
	Announce               // append an announcement, then call Announced
	Send                   // send Step.Order, then call Sent, or Refused if the engine refused it
)

// Step is the next action of a Reconciler.
type Step struct {
	Action Action
	Until  time.Time // set for Sleep
	Order  Order     // set for Send
}

// Reconciler decides which orders a sidecar sends to its engine, so that the
// engine serves the target. It starts no goroutines and reads no clock, and is
// not safe for concurrent use. The caller calls Next, carries out the step and
// reports the result; it calls Failed if a read or an announcement failed.
type Reconciler struct {
	target       Target
	state        State
	stateAsOf    time.Time // when state was requested; zero: not yet
	nextRead     time.Time // when to read the state next
	fence        uint64    // fencing token of the latest known order; 0: none
	pending      bool      // the order of the latest announcement has not been sent
	announced    Target    // target of the latest announcement
	sendAt       time.Time // when the announced order may be sent
	backoffUntil time.Time // no order is announced or sent before
}

// SetTarget sets what the engine should serve.
func (r *Reconciler) SetTarget(now time.Time, t Target) {
	if t != r.target {
		r.target = t
		r.nextRead = now
	}
}

// Next returns what to do at time now.
func (r *Reconciler) Next(now time.Time) Step {
	switch {
	case r.target.Model == "":
		return Step{Action: Sleep, Until: now.Add(pollInterval)}
	case !now.Before(r.nextRead):
		return Step{Action: Read}
	case r.stateAsOf.IsZero() || now.Before(r.backoffUntil):
		return Step{Action: Sleep, Until: r.nextRead}
	case r.state.Loading != nil || r.target.servedBy(r.state):
		return Step{Action: Sleep, Until: r.nextRead}
	case !r.pending || r.announced != r.target || now.After(r.sendAt.Add(MaxLateness)):
		return Step{Action: Announce}
	case now.Before(r.sendAt):
		return Step{Action: Sleep, Until: r.sendAt}
	case now.Sub(r.stateAsOf) > maxStateAge:
		return Step{Action: Read}
	}
	return Step{Action: Send, Order: Order{
		Fence: r.fence, Kind: KindLoad, Model: r.target.Model, Version: r.target.Version,
	}}
}

// StateRead records the engine's state, which was requested at requestedAt. If this
// sidecar knows of an order already and the engine has accepted one with a higher
// fencing token, another sidecar sends it orders, and this one backs off.
func (r *Reconciler) StateRead(requestedAt, now time.Time, s State) {
	r.state = s
	r.stateAsOf = requestedAt
	r.nextRead = now.Add(readInterval)
	if s.Loading != nil {
		r.nextRead = now.Add(pollInterval)
	}
	if r.fence > 0 && s.Fence > r.fence {
		r.backOff(now, s.Fence)
	}
}

// backOff suspends orders for conflictBackoff, because another sidecar sends
// orders to the engine. fence is the latest fencing token known.
func (r *Reconciler) backOff(now time.Time, fence uint64) {
	r.fence = fence
	r.pending = false
	r.backoffUntil = now.Add(conflictBackoff)
}

// Announced records the offset of the announcement, which is the fencing token of
// its order, and when the order may be sent.
func (r *Reconciler) Announced(fence uint64, sendAt time.Time) {
	r.fence = fence
	r.pending = true
	r.announced = r.target
	r.sendAt = sendAt
}

// Sent records that the order was sent, whether or not the engine has accepted it: the
// next read of the engine's state shows that.
func (r *Reconciler) Sent(now time.Time) {
	r.pending = false
	r.nextRead = now
}

// Failed records that a read or an announcement failed. After an order that failed,
// Sent or Refused is called instead.
func (r *Reconciler) Failed(now time.Time) { r.nextRead = now.Add(pollInterval) }

// Refused records that the engine refused the order, as it has accepted a later
// one.
func (r *Reconciler) Refused(now time.Time) {
	r.backOff(now, r.fence)
	r.nextRead = now
}
