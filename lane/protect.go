package lane

import "time"

// protector keeps batch from lengthening the tail of online requests' time to
// the first token by more than a ratio. A request's first token comes after
// the step under way and a step of its own; both are longer with items in them.
type protector struct {
	steps     stepModel
	alone     tailEstimate // time to the first token without batch
	prefills  int          // online requests that have no token yet
	excess    float64      // seconds by which the next step is to be shorter
	cutAt     time.Time    // when items are cut for it
	holdUntil time.Time    // no item starts before it, while there are such requests
}

// tailQuantile is the quantile of the time to the first token that is kept.
const tailQuantile = 0.99

// tailEstimate follows a high quantile of a sequence of times in seconds.
type tailEstimate struct{ value float64 }

// tailStep is the part of the estimate by which one observation may raise it.
const tailStep = 0.05

func (e *tailEstimate) observe(v float64) {
	switch {
	case e.value == 0:
		e.value = v
	case v > e.value:
		e.value += min(v-e.value, tailStep*e.value*tailQuantile)
	default:
		e.value -= tailStep * e.value * (1 - tailQuantile)
	}
}

// protect foresees the first token of an online request that has just started
// and cuts as many items as make it come in time. Items that start later wait
// for it.
func (q *Queue) protect(now time.Time, r *run) {
	p := &q.protect0
	p.steps.started(now, r.Prompt, 0)
	p.prefills++
	l := q.opts.Limit
	if l.Ratio == 0 && !l.HoldStarts && !l.CutAll || !p.steps.known() {
		return
	}
	first := p.foresee(now)
	p.alone.observe(p.foreseeAlone(now, len(q.running)))
	excess := first - q.opts.Limit.Ratio*p.alone.value
	switch {
	case l.CutAll:
		q.cutLater(now, 1000)
	case l.Ratio > 0:
		q.cutLater(now, excess)
	}
	p.holdUntil = later(p.holdUntil, now.Add(seconds(2*first)))
}

// cutMargin is the part of a step's time before its end at which items are
// cut, so that they still get its token.
const cutMargin = 0.25

// cutLater has items cut shortly before the step under way ends.
func (q *Queue) cutLater(now time.Time, excess float64) {
	p := &q.protect0
	if excess <= 0 {
		return
	}
	margin := cutMargin * p.steps.time(float64(p.steps.running), 0)
	if !q.opts.Limit.Late {
		margin = 1000
	}
	p.excess = max(p.excess, excess)
	p.cutAt = now.Add(seconds(max(0, p.steps.residual(now)-margin)))
	q.cutInTime(now)
}

// cutInTime cuts what cutLater asked for, once it is time.
func (q *Queue) cutInTime(now time.Time) {
	p := &q.protect0
	if p.excess == 0 {
		return
	}
	if now.Before(p.cutAt) {
		q.out.Wake = p.cutAt
		return
	}
	excess := p.excess
	p.excess = 0
	q.shorten(now, excess)
}

// foresee returns the time to the first token of what started last.
func (p *protector) foresee(now time.Time) float64 {
	return p.steps.residual(now) + p.steps.time(float64(p.steps.running), p.steps.next.prompt)
}

// foreseeAlone returns the same without batch.
func (p *protector) foreseeAlone(now time.Time, online int) float64 {
	s := &p.steps
	left := 0.0
	if whole := s.time(float64(s.current.runs), s.current.prompt); whole > 0 {
		left = s.residual(now) / whole
	}
	others := float64(online - 1)
	others *= s.time(others, 0) / s.time(float64(s.running), 0) // shorter steps, fewer at once
	underWay := s.time(others, s.current.prompt-s.current.batch)
	return left*underWay + s.time(others+1, s.next.prompt-s.next.batch)
}

// shorten cuts items until the next step is shorter by that many seconds.
func (q *Queue) shorten(now time.Time, excess float64) {
	s := &q.protect0.steps
	_, perRun := s.line.solve()
	for excess > 0 && q.batch.running-q.batch.yielding > q.batch.fixed {
		it := q.cheapest()
		if it == nil {
			return
		}
		excess -= perRun
		if s.pending(it.started) && it.fresh {
			excess -= s.perToken * it.Prompt
			s.dropped(it.Prompt)
		}
		q.cut(it)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// held reports whether items wait for the first token of an online request.
func (q *Queue) held(now time.Time) bool {
	p := &q.protect0
	return p.prefills > 0 && now.Before(p.holdUntil)
}

// Token tells the queue that the endpoint streamed a token, of a request or of
// an item.
func (q *Queue) Token(now time.Time) Decision {
	q.begin()
	if !q.protect0.steps.token(now) {
		return q.out
	}
	return q.decide(now)
}

// Tick lets items start whose time has come.
func (q *Queue) Tick(now time.Time) Decision {
	q.begin()
	return q.decide(now)
}
