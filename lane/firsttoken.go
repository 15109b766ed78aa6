package lane

import "time"

// firstTokenControl keeps batch items from increasing the tail latency of the
// first token of online requests. The first token follows the engine step in
// progress and one step of the request itself, and items make both longer. The
// step in progress can't be changed; items are preempted to shorten the next one
// if the time to the first token would exceed its bound.
type firstTokenControl struct {
	maxRatio   float64 // Options.FirstTokenRatio
	steps      stepModel
	baseline   tailEstimate // seconds to the first token without batch
	pending    int          // online requests that run and whose first token has not been received
	deferUntil time.Time    // no item starts before, while pending is above 0
}

// deferFactor times the predicted time to a first token is the maximum time for
// which the start of items is deferred for that token.
const deferFactor = 2

// preemptForFirstToken predicts the time to the first token of an online request
// that starts with the given number of prompt tokens, and preempts as many items
// as needed to keep it within the bound.
func (q *Queue) preemptForFirstToken(now time.Time, prompt float64) {
	f := &q.firstToken
	f.pending++
	f.steps.sequenceStarted(now, prompt, 0)
	if f.maxRatio == 0 || q.opts.Policy != PreemptivePriority || !f.steps.ready() {
		return
	}
	f.baseline.observe(f.predictWithoutBatch(now, len(q.running)))
	expected := f.predict(now)
	excess := expected - f.maxRatio*f.baseline.value
	if excess <= 0 || !q.shortenNextStep(excess) {
		return
	}
	if until := now.Add(seconds(deferFactor * expected)); until.After(f.deferUntil) {
		f.deferUntil = until
	}
}

// predict returns the seconds to the first token of the request that started
// last.
func (f *firstTokenControl) predict(now time.Time) float64 {
	s := &f.steps
	return s.currentRemaining(now) + s.duration(float64(s.running), s.next.promptTokens)
}

// predictWithoutBatch returns the seconds to the first token as if only the given
// number of online requests ran. It scales that number down, since with shorter
// steps fewer of them would run at the same time.
func (f *firstTokenControl) predictWithoutBatch(now time.Time, online int) float64 {
	s := &f.steps
	fraction := 0.0 // remaining part of the step in progress
	if total := s.currentDuration(); total > 0 {
		fraction = s.currentRemaining(now) / total
	}
	others := float64(online - 1)
	others *= s.duration(others, 0) / s.duration(float64(s.running), 0)
	current := s.duration(others, s.current.promptTokens-s.current.batchPromptTokens)
	return fraction*current + s.duration(others+1, s.next.promptTokens-s.next.batchPromptTokens)
}

// shortenNextStep preempts items until the next step is shorter by excess
// seconds, or none is left that can be preempted. It returns false if it
// preempted none.
func (q *Queue) shortenNextStep(excess float64) bool {
	s := &q.firstToken.steps
	perSequence := s.perSequence()
	preempted := false
	for _, it := range q.preemptibleByLoss() {
		if excess <= 0 {
			break
		}
		excess -= perSequence
		if it.neverRan && s.startsInNextStep(it.started) {
			excess -= s.perToken * it.PromptTokens
			s.removeFromNextStep(it.PromptTokens)
		}
		q.preempt(it)
		preempted = true
	}
	return preempted
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// removePending records that the first token of r was received, or will never be.
func (q *Queue) removePending(r *runningRequest) {
	if r.hasFirstToken {
		return
	}
	r.hasFirstToken = true
	q.firstToken.pending--
}

// itemsDeferred reports whether the start of items is deferred until the first
// token of an online request.
func (q *Queue) itemsDeferred(now time.Time) bool {
	return q.firstToken.pending > 0 && now.Before(q.firstToken.deferUntil)
}

// SetFirstTokenRatio changes Options.FirstTokenRatio.
func (q *Queue) SetFirstTokenRatio(ratio float64) { q.firstToken.maxRatio = ratio }

// RecordToken records that the endpoint streamed a token of a request or of an
// item.
func (q *Queue) RecordToken(now time.Time) { q.firstToken.steps.recordToken(now) }

// Tick must be called at the time in Decision.Wake. It returns the next decision.
func (q *Queue) Tick(now time.Time) Decision {
	q.resetDecision()
	return q.decide(now)
}
