package lane

import "time"

// firstTokens keeps batch from lengthening the tail of online requests' time
// to the first token. That token comes after the step under way and one step
// of the request's own, and items make both longer. The step under way can't
// be changed; items are cut from the other if the token would come too late.
type firstTokens struct {
	ratio     float64 // Options.FirstTokenRatio
	steps     stepModel
	alone     tailEstimate // time to the first token without batch
	awaited   int          // online requests that run and have no token yet
	holdUntil time.Time    // no item starts before, while there are such requests
}

// holdFactor times the time foreseen is how long items wait for a first token
// at most.
const holdFactor = 2

// protect foresees the first token of an online request that starts, and cuts
// as many items as make it come in time.
func (q *Queue) protect(now time.Time, prompt float64) {
	f := &q.first
	f.awaited++
	f.steps.started(now, prompt, 0)
	if f.ratio == 0 || q.opts.Policy != PreemptivePriority || !f.steps.known() {
		return
	}
	f.alone.observe(f.foreseeAlone(now, len(q.running)))
	expected := f.foresee(now)
	excess := expected - f.ratio*f.alone.value
	if excess <= 0 || !q.shorten(excess) {
		return
	}
	if until := now.Add(seconds(holdFactor * expected)); until.After(f.holdUntil) {
		f.holdUntil = until
	}
}

// foresee returns the seconds to the first token of what started last.
func (f *firstTokens) foresee(now time.Time) float64 {
	s := &f.steps
	return s.left(now) + s.time(float64(s.running), s.next.prompt)
}

// foreseeAlone returns the same without batch, for that many online requests.
// With shorter steps fewer of them would be there at once.
func (f *firstTokens) foreseeAlone(now time.Time, online int) float64 {
	s := &f.steps
	part := 0.0 // of the step under way that is left
	if whole := s.underWay(); whole > 0 {
		part = s.left(now) / whole
	}
	others := float64(online - 1)
	others *= s.time(others, 0) / s.time(float64(s.running), 0)
	underWay := s.time(others, s.current.prompt-s.current.batch)
	return part*underWay + s.time(others+1, s.next.prompt-s.next.batch)
}

// shorten cuts items until the next step is shorter by excess seconds. It
// returns false if there are none to cut.
func (q *Queue) shorten(excess float64) bool {
	s := &q.first.steps
	perRun := s.perRun()
	cut := false
	for _, it := range q.byLoss() {
		if excess <= 0 {
			break
		}
		excess -= perRun
		if it.fresh && s.waits(it.started) {
			excess -= s.perToken * it.PromptTokens
			s.dropped(it.PromptTokens)
		}
		q.cut(it)
		cut = true
	}
	return cut
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// notAwaited notes that the first token of r has come, or never will.
func (q *Queue) notAwaited(r *run) {
	if r.first {
		return
	}
	r.first = true
	q.first.awaited--
}

// held reports whether items wait for the first token of an online request.
func (q *Queue) held(now time.Time) bool {
	return q.first.awaited > 0 && now.Before(q.first.holdUntil)
}

// SetFirstTokenRatio changes Options.FirstTokenRatio.
func (q *Queue) SetFirstTokenRatio(ratio float64) { q.first.ratio = ratio }

// RecordToken tells the queue that the endpoint streamed a token, of a request or of
// an item.
func (q *Queue) RecordToken(now time.Time) { q.first.steps.token(now) }

// Tick is called at the time that Decision.Wake gave.
func (q *Queue) Tick(now time.Time) Decision {
	q.begin()
	return q.decide(now)
}
