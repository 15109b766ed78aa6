package limit

import "time"

// Times and bounds of waiting for the successor of a holder.
const (
	successorWait  = 800 * time.Millisecond // for one request, from its start
	successorPoll  = 20 * time.Millisecond
	replicaRetries = 6
	minReplicas    = 2 // shares that must have granted tokens, unless the bucket has fewer
)

// nextReplicated is Next of the scheme Replicated.
func (g *Gather) nextReplicated(now time.Time) Step {
	g.have(now)
	if g.enough() {
		if now.Before(g.ready) {
			return Step{Action: Wait, Wait: g.ready.Sub(now)}
		}
		return Step{Action: Admit}
	}
	asks := g.askReplicas(now)
	if len(asks) == 0 || g.rounds >= maxRounds {
		return g.giveUpReplicated(now)
	}
	g.rounds++
	g.asked = now
	return Step{Action: Query, Asks: asks}
}

// part is the amount that one share grants for a request.
func (g *Gather) part() float64 { return 1 / float64(len(g.sources)) }

// enough reports whether the grants in hand admit the request: one part of
// each share, or two parts of each of two shares. Grants of learners count as
// parts, but two parts at least must be tokens.
func (g *Gather) enough() bool {
	parts, tokens, doubles := 0, 0, 0
	for i := range g.sources {
		amount, learner := g.grantedBy(i)
		switch {
		case amount >= 2*g.part()-epsilon:
			parts, tokens, doubles = parts+1, tokens+1, doubles+1
		case amount >= g.part()-epsilon:
			parts, tokens = parts+1, tokens+1
		case learner:
			parts++
		}
	}
	n := len(g.sources)
	return parts == n && tokens >= min(minReplicas, n) || doubles >= minReplicas
}

// grantedBy returns the tokens in hand from one source, and whether it has
// granted as a learner.
func (g *Gather) grantedBy(source int) (tokens float64, learner bool) {
	for _, h := range g.held {
		switch {
		case h.source != source:
		case h.reply.Learner:
			learner = true
		default:
			tokens += h.reply.Amount
		}
	}
	return tokens, learner
}

// askReplicas returns the asks for one part of each share, and then, if one
// share failed, for another part of each of two others that have it.
func (g *Gather) askReplicas(now time.Time) []Ask {
	var asks []Ask
	if fresh := g.unasked(); len(fresh) > 0 {
		for _, i := range fresh {
			asks = append(asks, g.ask(i, g.part()))
		}
		return asks
	}
	failed, replacing := g.failures(now)
	if failed == 0 {
		return g.askLearner()
	}
	if replacing {
		return nil
	}
	var spare []int
	for i, s := range g.sources {
		amount, learner := g.grantedBy(i)
		single := amount >= g.part()-epsilon && amount < 2*g.part()-epsilon
		if !s.failed && !learner && single && s.left >= g.part()-epsilon {
			spare = append(spare, i)
		}
	}
	if len(spare) < minReplicas {
		return nil
	}
	for _, i := range spare[:minReplicas] {
		second := g.ask(i, g.part())
		second.Args.Learner, second.Args.Second = false, true
		asks = append(asks, second)
	}
	return asks
}

// askLearner returns an ask for tokens to a share that has granted its part
// as a learner, if there are fewer tokens in hand than needed.
func (g *Gather) askLearner() []Ask {
	tokens, learner := 0, -1
	for i, s := range g.sources {
		amount, learnt := g.grantedBy(i)
		switch {
		case amount >= g.part()-epsilon:
			tokens++
		case !learnt:
			return nil
		case s.left >= g.part()-epsilon:
			learner = i
		}
	}
	if tokens >= min(minReplicas, len(g.sources)) || learner < 0 {
		return nil
	}
	a := g.ask(learner, g.part())
	a.Args.Learner = false
	return []Ask{a}
}

// giveUpReplicated refuses, or tries again shortly as giveUp does. While a lost
// holder is being replaced, it waits for the successor.
func (g *Gather) giveUpReplicated(now time.Time) Step {
	need := g.part()
	failed, replacing := g.failures(now)
	if failed > 0 && !replacing {
		need = 2 * g.part()
	}
	missing, others := 0.0, 0.0
	contended := true
	for i, s := range g.sources {
		amount, learner := g.grantedBy(i)
		if s.failed || learner || amount >= need-epsilon {
			continue
		}
		short := need - amount - s.left
		missing = max(missing, short)
		others += max(0, s.others)
		contended = contended && short <= s.others+epsilon
	}
	refusal := g.refuseReplicated(now, missing, others, failed)
	contended = contended && others > epsilon
	soon := g.retries == 0 && refusal.Wait <= MaxPromise
	switch {
	case refusal.Unavailable:
		return refusal
	case replacing && now.Sub(g.began) < successorWait:
		return g.again(now, successorPoll, true)
	case g.retries >= replicaRetries || !contended && !soon:
		return refusal
	case contended:
		g.retries++
		return g.again(now, retryWait, !g.leads())
	default:
		g.retries++
		return g.again(now, refusal.Wait, !g.leads())
	}
}

// failures returns how many shares could not be asked, and whether one of them
// is about to get another holder.
func (g *Gather) failures(now time.Time) (failed int, replacing bool) {
	for _, s := range g.sources {
		if s.failed {
			failed++
			replacing = replacing || g.taker.table.Replacing(now, s.holder)
		}
	}
	return failed, replacing
}

// leads reports whether a grant of the first share that gives out tokens is in
// hand. Of several requests that have a part each, only the one that leads
// keeps it.
func (g *Gather) leads() bool {
	for i, s := range g.sources {
		amount, learner := g.grantedBy(i)
		if !s.failed && !learner {
			return amount >= g.part()-epsilon
		}
	}
	return false
}

// again has all shares asked again after wait.
func (g *Gather) again(now time.Time, wait time.Duration, giveBack bool) Step {
	step := Step{Action: Wait, Wait: wait}
	if giveBack {
		step.Returns = g.Finish(false)
	}
	g.rounds = 0
	for i := range g.sources {
		s := &g.sources[i]
		amount, learner := g.grantedBy(i)
		s.asked = learner || amount >= g.part()-epsilon
		s.holder, s.addr = g.taker.table.Holder(Partition(g.customer, s.share))
		s.failed = s.holder == "" || g.taker.suspect(now.Add(wait), s.holder)
		s.moved = false
	}
	return step
}

// refuseReplicated returns the refusal, with the time until the share that is
// shortest will have minted its part.
func (g *Gather) refuseReplicated(now time.Time, missing, others float64, failed int) Step {
	if failed > len(g.sources)-min(minReplicas, len(g.sources)) {
		return Step{Action: Refuse, Wait: TakeoverWait, Unavailable: true}
	}
	rate := g.limits.part().Rate
	if rate <= 0 || g.limits.Burst < 1 {
		return Step{Action: Refuse, Wait: time.Hour}
	}
	if failed == 0 && missing <= epsilon {
		return Step{Action: Refuse, Wait: TakeoverWait} // too many shares are behind
	}
	wait := max(time.Millisecond, time.Duration(max(0, missing)/rate*float64(time.Second)))
	if failed == 0 && others < epsilon && missing > epsilon {
		g.taker.bar(g.customer, g.limits, now.Add(wait))
	}
	return Step{Action: Refuse, Wait: wait}
}
