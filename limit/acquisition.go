package limit

import "time"

// Acquisition is the state of one request that acquires a token from the
// holders of its customer's shares. It must be used by one goroutine only.
type Acquisition struct {
	acquirer       *Acquirer
	customer       string
	limits         Limits
	oneFirst       bool // call one share first, and the others only if it has no token
	sources        []source
	held           []heldGrant
	calledAt       time.Time // when the current take calls were sent
	usableAt       time.Time // from then on, all grants in held may be used
	rounds         int
	retries        int
	exhaustedUntil time.Time // no token exists before
}

// source is one share as seen by this request.
type source struct {
	share     int
	holder    string
	addr      string
	called    bool
	failed    bool    // the holder did not reply or no longer holds the share
	notHeld   bool    // the holder replied that it does not hold the share
	available float64 // tokens that the share could still grant when the holder replied
	pending   float64 // tokens in recent grants to other requests at that time
}

// heldGrant is a grant that this request holds.
type heldGrant struct {
	source  int // index in Acquisition.sources
	call    TakeCall
	reply   TakeReply
	expires time.Time
}

// TakeCall is a Limit.Take call to the holder of a share.
type TakeCall struct {
	Holder string // instance ID
	Addr   string // ip:port
	Args   TakeArgs
	source int
}

// Action is what to do next for a request.
type Action int

// Values of Action.
const (
	Admit  Action = iota // the request is admitted now; then call Finish
	Take                 // send the take calls, pass each result to HandleReply or HandleFailure, then call Next
	Wait                 // call Next after Step.Wait
	Refuse               // a token will exist after Step.Wait; call Finish
)

// Step is the next action for a request, with its arguments.
type Step struct {
	Action    Action
	TakeCalls []TakeCall
	Wait      time.Duration
	// SettleCalls are to be sent at once. They are set with Wait only.
	SettleCalls []SettleCall
	// Unavailable is set with Refuse if no holder replied for its share: each one
	// is unknown or skipped, did not reply or no longer holds the share.
	Unavailable bool
}

// tryOneFirst selects the share to call first by rotation; the others are
// called only if that one has no token.
func (a *Acquisition) tryOneFirst(rotation uint64) {
	a.oneFirst = true
	n := len(a.sources)
	if n == 0 {
		return
	}
	first := int(rotation % uint64(n))
	a.sources = append(a.sources[first:n:n], a.sources[:first]...)
}

// Next returns what to do at now. Each take call of the previous step must
// have got a reply or have failed.
func (a *Acquisition) Next(now time.Time) Step {
	if now.Before(a.exhaustedUntil) {
		return Step{Action: Refuse, Wait: a.exhaustedUntil.Sub(now)}
	}
	held := a.heldTokens(now)
	if held >= 1-epsilon {
		if now.Before(a.usableAt) {
			return Step{Action: Wait, Wait: a.usableAt.Sub(now)}
		}
		return Step{Action: Admit}
	}
	var calls []TakeCall
	if a.rounds < maxRounds {
		calls = a.takeCalls(1 - held)
	}
	if len(calls) == 0 {
		return a.retryOrRefuse(now, held)
	}
	a.rounds++
	a.calledAt = now
	return Step{Action: Take, TakeCalls: calls}
}

// heldTokens drops grants that have expired and returns the tokens in the
// others.
func (a *Acquisition) heldTokens(now time.Time) float64 {
	sum := 0.0
	kept := a.held[:0]
	for _, h := range a.held {
		if now.Before(h.expires) {
			sum += h.reply.Amount
			kept = append(kept, h)
		}
	}
	a.held = kept
	return sum
}

// takeCalls returns the calls that may obtain the missing part of a token.
func (a *Acquisition) takeCalls(missing float64) []TakeCall {
	uncalled := a.uncalled()
	if len(uncalled) > 0 {
		if a.oneFirst && a.rounds == 0 {
			uncalled = uncalled[:1]
		}
		calls := make([]TakeCall, 0, len(uncalled))
		for _, i := range uncalled {
			calls = append(calls, a.takeCall(i, missing/float64(len(uncalled))))
		}
		return calls
	}
	total := a.availableTokens()
	if total < missing-epsilon {
		return nil
	}
	var calls []TakeCall
	for i, s := range a.sources {
		if !s.failed && s.available > epsilon {
			calls = append(calls, a.takeCall(i, missing*s.available/total))
		}
	}
	return calls
}

// uncalled returns the indexes of the sources that are still to be called in
// this try.
func (a *Acquisition) uncalled() []int {
	var out []int
	for i, s := range a.sources {
		if !s.called && !s.failed {
			out = append(out, i)
		}
	}
	return out
}

// availableTokens returns the tokens that the sources could still grant.
func (a *Acquisition) availableTokens() float64 {
	sum := 0.0
	for _, s := range a.sources {
		if !s.failed && s.available > epsilon {
			sum += s.available
		}
	}
	return sum
}

// takeCall returns a call for amount tokens of source i and marks the source
// as called.
func (a *Acquisition) takeCall(i int, amount float64) TakeCall {
	s := &a.sources[i]
	s.called = true
	return TakeCall{
		Holder: s.holder, Addr: s.addr, source: i,
		Args: TakeArgs{Customer: a.customer, Share: s.share, Amount: amount},
	}
}

// HandleReply processes the reply to a take call. Each call has at most one.
func (a *Acquisition) HandleReply(now time.Time, call TakeCall, reply TakeReply) {
	a.acquirer.recordReply(now, call.Holder, true)
	s := &a.sources[call.source]
	s.failed = !reply.Held
	s.notHeld = !reply.Held
	s.available = reply.Left
	s.pending = reply.Pending - a.heldFrom(call.source)
	if reply.Grant == 0 {
		return
	}
	a.held = append(a.held, heldGrant{source: call.source, call: call, reply: reply, expires: a.calledAt.Add(GrantTTL)})
	if ready := now.Add(reply.Wait); ready.After(a.usableAt) {
		a.usableAt = ready
	}
}

// HandleFailure records that a take call got no reply.
func (a *Acquisition) HandleFailure(now time.Time, call TakeCall) {
	a.acquirer.recordReply(now, call.Holder, false)
	a.sources[call.source].failed = true
}

// SettleCall is a Limit.Settle call that ends grants of one holder.
type SettleCall struct {
	Holder string
	Addr   string
	Args   SettleArgs
}

// Finish returns the calls that end the grants held: as spent if the request
// was admitted, otherwise as unused. Spent grants that need no early
// settlement are left to expire.
func (a *Acquisition) Finish(admitted bool) []SettleCall {
	var out []SettleCall
	for _, h := range a.held {
		if admitted && !h.reply.Settle {
			continue
		}
		settlement := Settlement{Customer: a.customer, Share: h.call.Args.Share, Tenure: h.reply.Tenure, Grant: h.reply.Grant}
		if !admitted {
			settlement.Unused = h.reply.Amount
		}
		out = append(out, SettleCall{Holder: h.call.Holder, Addr: h.call.Addr, Args: SettleArgs{Grants: []Settlement{settlement}}})
	}
	a.held = nil
	return out
}
