package limit

import "time"

// heldFrom returns the tokens in hand from one source.
func (g *Acquisition) heldFrom(source int) float64 {
	sum := 0.0
	for _, h := range g.held {
		if h.source == source {
			sum += h.reply.Amount
		}
	}
	return sum
}

// giveUp refuses, or tries again shortly if a token may be had then: because
// it will have been minted, because tokens that others have in hand may come
// back, or because a share is changing its holder.
func (g *Acquisition) giveUp(now time.Time, have float64) Step {
	others, moved := 0.0, false
	for _, s := range g.sources {
		moved = moved || s.moved
		if !s.failed {
			others += max(0, s.others)
		}
	}
	refusal := g.refuse(now, 1-have, others)
	contended := others > epsilon && have+g.left()+others >= 1-epsilon
	soon := g.retries == 0 && !refusal.Unavailable && refusal.Wait <= MaxGrantAhead
	if g.retries >= maxRetries || !contended && !soon && !moved {
		return refusal
	}
	step := Step{Action: Wait, Wait: retryWait}
	if !contended && !moved {
		step.Wait = refusal.Wait
	}
	if !g.first() {
		// Of several that have a part each, only the one with a part of the
		// first share keeps it.
		step.SettleCalls = g.Finish(false)
	}
	g.retries++
	g.rounds = 0
	g.relocate()
	return step
}

// locate finds the holders of the customer's shares, without those that did
// not answer lately.
func (g *Acquisition) locate(now time.Time) {
	for i := range g.limits.Shares() {
		id, addr := g.taker.table.Holder(Partition(g.customer, i))
		if id != "" && !g.taker.suspect(now, id) {
			g.sources = append(g.sources, source{share: i, holder: id, addr: addr})
		}
	}
}

// relocate has all shares asked again, at their holders of now.
func (g *Acquisition) relocate() {
	for i := range g.sources {
		s := &g.sources[i]
		s.asked = false
		if s.moved {
			s.holder, s.addr = g.taker.table.Holder(Partition(g.customer, s.share))
			s.failed, s.moved = false, false
		}
	}
}

// first reports whether a grant of the customer's first share is in hand.
func (g *Acquisition) first() bool {
	for _, h := range g.held {
		if g.sources[h.source].share == 0 {
			return true
		}
	}
	return false
}

// refuse returns the refusal, with the time until the missing part of a token
// will have been minted by the shares that answered.
func (g *Acquisition) refuse(now time.Time, missing, others float64) Step {
	answered := 0
	for _, s := range g.sources {
		if s.asked && !s.failed {
			answered++
		}
	}
	if answered == 0 {
		return Step{Action: Refuse, Wait: TakeoverDelay, Unavailable: true}
	}
	rate := g.limits.part().Rate * float64(answered)
	if rate <= 0 || g.limits.Burst < 1 {
		return Step{Action: Refuse, Wait: time.Hour}
	}
	seconds := max(0, missing-g.left()) / rate
	wait := max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
	if answered == g.limits.Shares() && others < epsilon {
		g.taker.bar(g.customer, g.limits, now.Add(wait))
	}
	return Step{Action: Refuse, Wait: wait}
}
