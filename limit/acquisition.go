package limit

import "time"

// Acquisition is one request's way to a token. It belongs to one goroutine.
type Acquisition struct {
	taker    *Acquirer
	customer string
	limits   Limits
	single   bool
	sources  []source
	held     []heldGrant
	asked    time.Time // when the asks under way were made
	ready    time.Time // no grant held may be used before
	rounds   int
	retries  int
	barred   time.Time // a token is known not to exist before
}

// source is one share as this request has seen it.
type source struct {
	share  int
	holder string
	addr   string
	asked  bool
	failed bool    // it did not answer, or does not hold the share
	moved  bool    // it does not hold the share
	left   float64 // tokens that it could still grant when it answered
	others float64 // tokens in grants of others then
}

// heldGrant is a grant in hand.
type heldGrant struct {
	source  int // index in Gather.sources
	ask     TakeCall
	reply   TakeReply
	expires time.Time
}

// TakeCall is a call to make to a holder.
type TakeCall struct {
	Holder string // instance id
	Addr   string // ip:port
	Args   TakeArgs
	source int
}

// Action says what to do next for a request.
type Action int

// The actions.
const (
	Admit  Action = iota // the request is admitted now; then call Finish
	Take                 // make the asks, pass on each answer, then call Next
	Wait                 // call Next after Step.Wait
	Refuse               // a token will exist after Step.Wait; call Finish
)

// Step is the next thing to do for a request.
type Step struct {
	Action    Action
	TakeCalls []TakeCall
	Wait      time.Duration
	// SettleCalls are to be sent at once with Wait.
	SettleCalls []SettleCall
	// Unavailable says with Refuse that no holder could be asked.
	Unavailable bool
}

// rotate makes turn choose the share to ask first, and has the others asked
// only if that one has no token.
func (g *Acquisition) rotate(turn uint64) {
	g.single = true
	n := len(g.sources)
	if n == 0 {
		return
	}
	first := int(turn % uint64(n))
	g.sources = append(g.sources[first:n:n], g.sources[:first]...)
}

// Next returns what to do at now, when all asks have been answered or given
// up.
func (g *Acquisition) Next(now time.Time) Step {
	if now.Before(g.barred) {
		return Step{Action: Refuse, Wait: g.barred.Sub(now)}
	}
	have := g.have(now)
	if have >= 1-epsilon {
		if now.Before(g.ready) {
			return Step{Action: Wait, Wait: g.ready.Sub(now)}
		}
		return Step{Action: Admit}
	}
	var asks []TakeCall
	if g.rounds < maxRounds {
		asks = g.asks(1 - have)
	}
	if len(asks) == 0 {
		return g.giveUp(now, have)
	}
	g.rounds++
	g.asked = now
	return Step{Action: Take, TakeCalls: asks}
}

// have returns the tokens in hand and forgets grants that have expired.
func (g *Acquisition) have(now time.Time) float64 {
	sum := 0.0
	kept := g.held[:0]
	for _, h := range g.held {
		if now.Before(h.expires) {
			sum += h.reply.Amount
			kept = append(kept, h)
		}
	}
	g.held = kept
	return sum
}

// asks returns the calls that could bring the missing part of a token.
func (g *Acquisition) asks(missing float64) []TakeCall {
	fresh := g.unasked()
	if len(fresh) > 0 {
		if g.single && g.rounds == 0 {
			fresh = fresh[:1]
		}
		asks := make([]TakeCall, 0, len(fresh))
		for _, i := range fresh {
			asks = append(asks, g.ask(i, missing/float64(len(fresh))))
		}
		return asks
	}
	total := g.left()
	if total < missing-epsilon {
		return nil
	}
	var asks []TakeCall
	for i, s := range g.sources {
		if !s.failed && s.left > epsilon {
			asks = append(asks, g.ask(i, missing*s.left/total))
		}
	}
	return asks
}

func (g *Acquisition) unasked() []int {
	var out []int
	for i, s := range g.sources {
		if !s.asked && !s.failed {
			out = append(out, i)
		}
	}
	return out
}

// left returns the tokens that the sources could still grant.
func (g *Acquisition) left() float64 {
	sum := 0.0
	for _, s := range g.sources {
		if !s.failed && s.left > epsilon {
			sum += s.left
		}
	}
	return sum
}

func (g *Acquisition) ask(i int, amount float64) TakeCall {
	s := &g.sources[i]
	s.asked = true
	return TakeCall{
		Holder: s.holder, Addr: s.addr, source: i,
		Args: TakeArgs{Customer: g.customer, Share: s.share, Amount: amount},
	}
}

// HandleReply takes in the answer to an ask. Each ask has at most one.
func (g *Acquisition) HandleReply(now time.Time, a TakeCall, r TakeReply) {
	g.taker.answered(now, a.Holder, true)
	s := &g.sources[a.source]
	s.failed = !r.Held
	s.moved = !r.Held
	s.left = r.Left
	s.others = r.Pending - g.heldFrom(a.source)
	if r.Grant == 0 {
		return
	}
	g.held = append(g.held, heldGrant{source: a.source, ask: a, reply: r, expires: g.asked.Add(GrantTTL)})
	if ready := now.Add(r.Wait); ready.After(g.ready) {
		g.ready = ready
	}
}

// HandleFailure says that an ask was not answered.
func (g *Acquisition) HandleFailure(now time.Time, a TakeCall) {
	g.taker.answered(now, a.Holder, false)
	g.sources[a.source].failed = true
}

// SettleCall is a message that ends grants at one holder.
type SettleCall struct {
	Holder string
	Addr   string
	Args   SettleArgs
}

// Finish returns the messages that end the grants in hand: as spent if the
// request was admitted, else to be given back.
func (g *Acquisition) Finish(admitted bool) []SettleCall {
	var out []SettleCall
	for _, h := range g.held {
		if admitted && !h.reply.Settle {
			continue
		}
		settlement := Settlement{Customer: g.customer, Share: h.ask.Args.Share, Tenure: h.reply.Tenure, Grant: h.reply.Grant}
		if !admitted {
			settlement.Unused = h.reply.Amount
		}
		out = append(out, SettleCall{Holder: h.ask.Holder, Addr: h.ask.Addr, Args: SettleArgs{Grants: []Settlement{settlement}}})
	}
	g.held = nil
	return out
}
