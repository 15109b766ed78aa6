package order

import "time"

const (
	// readInterval is the time between two looks at an engine that serves what
	// it should.
	readInterval = 30 * time.Second
	// pollInterval is the time between two looks at an engine that loads, and
	// after a failure.
	pollInterval = time.Second
	// yieldTime is how long a sidecar gives no orders after it met a later order
	// of another one: two overlap only while one replaces the other.
	yieldTime = time.Minute
	// maxStateAge is how old the engine's state may be when an order is sent.
	maxStateAge = time.Second
)

// Action is what the driver of a Keeper does next.
type Action int

// The actions.
const (
	Sleep    Action = iota // until the time given
	Read                   // read the engine's state, then call Saw
	Announce               // append an announcement, then call Announced
	Send                   // send the order given, then call Sent
)

// Step is the next action of a Keeper.
type Step struct {
	Action Action
	Until  time.Time // of Sleep
	Order  Order     // of Send
}

// Reconciler decides which orders one sidecar gives to its engine. It is passive
// and not safe for concurrent use.
type Reconciler struct {
	target    Target
	state     State
	seen      time.Time // when state was asked for; zero: not yet
	nextRead  time.Time
	fence     uint64 // of the latest announcement; 0: none
	pending   bool   // the announcement is not used up
	announced Target // what the announcement is for
	sendAt    time.Time
	yieldEnd  time.Time // no orders before
}

// SetTarget changes what the engine should serve.
func (k *Reconciler) SetTarget(now time.Time, t Target) {
	if t != k.target {
		k.target = t
		k.nextRead = now
	}
}

// Next returns what to do at time now.
func (k *Reconciler) Next(now time.Time) Step {
	switch {
	case k.target.Model == "":
		return Step{Action: Sleep, Until: now.Add(pollInterval)}
	case !now.Before(k.nextRead):
		return Step{Action: Read}
	case k.seen.IsZero() || now.Before(k.yieldEnd):
		return Step{Action: Sleep, Until: k.nextRead}
	case k.state.Loading != nil || k.target.servedBy(k.state):
		return Step{Action: Sleep, Until: k.nextRead}
	case !k.pending || k.announced != k.target || now.After(k.sendAt.Add(MaxLateness)):
		return Step{Action: Announce}
	case now.Before(k.sendAt):
		return Step{Action: Sleep, Until: k.sendAt}
	case now.Sub(k.seen) > maxStateAge:
		return Step{Action: Read}
	}
	return Step{Action: Send, Order: Order{
		Fence: k.fence, Kind: KindLoad, Model: k.target.Model, Version: k.target.Version,
	}}
}

// StateRead takes the engine's state, which was asked for at asked. An engine that
// has taken an order announced after this sidecar's last one has another
// sidecar: this one yields.
func (k *Reconciler) StateRead(asked, now time.Time, s State) {
	k.state = s
	k.seen = asked
	k.nextRead = now.Add(readInterval)
	if s.Loading != nil {
		k.nextRead = now.Add(pollInterval)
	}
	if k.fence > 0 && s.Fence > k.fence {
		k.yield(now, s.Fence)
	}
}

// yield gives no orders for some time after another sidecar's order with that
// number.
func (k *Reconciler) yield(now time.Time, fence uint64) {
	k.fence = fence
	k.pending = false
	k.yieldEnd = now.Add(yieldTime)
}

// Announced takes the offset of the announcement and when its order may be
// sent.
func (k *Reconciler) Announced(fence uint64, sendAt time.Time) {
	k.fence = fence
	k.pending = true
	k.announced = k.target
	k.sendAt = sendAt
}

// Sent notes that the order was sent, whatever came of it: the engine's state
// tells.
func (k *Reconciler) Sent(now time.Time) {
	k.pending = false
	k.nextRead = now
}

// Failed notes that a read, an announcement or an order failed.
func (k *Reconciler) Failed(now time.Time) { k.nextRead = now.Add(pollInterval) }

// Refused notes that the engine refused the order for a later one.
func (k *Reconciler) Refused(now time.Time) {
	k.yield(now, k.fence)
	k.nextRead = now
}
