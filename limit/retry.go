package limit

import "time"

// heldFrom returns the tokens in the grants held from one source.
func (a *Acquisition) heldFrom(source int) float64 {
	sum := 0.0
	for _, h := range a.held {
		if h.source == source {
			sum += h.reply.Amount
		}
	}
	return sum
}

// retryOrRefuse refuses the request, or has it try again shortly if a token
// may be available then: because it will have been refilled, because other
// requests may return tokens that they hold, or because a share is changing
// its holder.
func (a *Acquisition) retryOrRefuse(now time.Time, held float64) Step {
	pending, holderChanged := 0.0, false
	for _, s := range a.sources {
		holderChanged = holderChanged || s.notHeld
		if !s.failed {
			pending += max(0, s.pending)
		}
	}
	refusal := a.refuse(now, 1-held, pending)
	contended := pending > epsilon && held+a.availableTokens()+pending >= 1-epsilon
	refillSoon := a.retries == 0 && !refusal.Unavailable && refusal.Wait <= MaxGrantAhead
	if a.retries >= maxRetries || !contended && !refillSoon && !holderChanged {
		return refusal
	}
	step := Step{Action: Wait, Wait: retryDelay}
	if !contended && !holderChanged {
		step.Wait = refusal.Wait
	}
	if !a.holdsFirstShare() {
		// Of several requests that each hold a part of a token, only the one
		// that holds a grant of the first share keeps its grants.
		step.SettleCalls = a.Finish(false)
	}
	a.retries++
	a.rounds = 0
	a.resetSources()
	return step
}

// locateHolders adds a source for each of the customer's shares, except those
// without a known holder and those whose holder did not reply recently.
func (a *Acquisition) locateHolders(now time.Time) {
	for i := range a.limits.Shares() {
		id, addr := a.acquirer.table.Holder(Partition(a.customer, i))
		if id != "" && !a.acquirer.skip(now, id) {
			a.sources = append(a.sources, source{share: i, holder: id, addr: addr})
		}
	}
}

// resetSources marks all sources as to be called again. For those whose share the
// called entry does not hold, it looks up the current holder.
func (a *Acquisition) resetSources() {
	for i := range a.sources {
		s := &a.sources[i]
		s.called = false
		if s.notHeld {
			s.holder, s.addr = a.acquirer.table.Holder(Partition(a.customer, s.share))
			s.failed, s.notHeld = false, false
		}
	}
}

// holdsFirstShare reports whether the request holds a grant of the customer's
// first share.
func (a *Acquisition) holdsFirstShare() bool {
	for _, h := range a.held {
		if a.sources[h.source].share == 0 {
			return true
		}
	}
	return false
}

// refuse returns the refusal, with the time until the shares that replied
// will have refilled the missing part of a token.
func (a *Acquisition) refuse(now time.Time, missing, pending float64) Step {
	replied := 0
	for _, s := range a.sources {
		if s.called && !s.failed {
			replied++
		}
	}
	if replied == 0 {
		return Step{Action: Refuse, Wait: TakeoverDelay, Unavailable: true}
	}
	rate := a.limits.perShare().Rate * float64(replied)
	if rate <= 0 || a.limits.Burst < 1 {
		return Step{Action: Refuse, Wait: time.Hour}
	}
	seconds := max(0, missing-a.availableTokens()) / rate
	wait := max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
	if replied == a.limits.Shares() && pending < epsilon {
		a.acquirer.markExhausted(a.customer, a.limits, now.Add(wait))
	}
	return Step{Action: Refuse, Wait: wait}
}
