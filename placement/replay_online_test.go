package placement

import "time"

// rate returns the online requests a second.
func (r *replay) rate() float64 {
	service := 0.95
	mean := r.mean * float64(r.endpoints*replaySlots) / service
	switch {
	case r.steady:
		return mean
	case r.peak():
		return mean * 1.85
	}
	return mean * 0.378
}

func (r *replay) peak() bool { return r.now%wavePeriod >= waveTrough }

// nextRequest lets an online request arrive, and then the next.
func (r *replay) nextRequest() {
	r.after(time.Duration(r.random.ExpFloat64()/r.rate()*float64(time.Second)), func() {
		r.nextRequest()
		e := r.fleet[r.random.IntN(len(r.fleet))]
		if r.measuring() {
			r.replayed.requests++
		}
		r.request(&replayRequest{entry: e, arrivedAt: r.now, peak: r.peak(), avoid: make(map[Key]bool), measured: r.measuring()})
	})
}

// replayRequest is an online request.
type replayRequest struct {
	entry     *replayEntry
	arrivedAt time.Duration
	peak      bool
	avoid     map[Key]bool
	attempts  int
	mayRun    bool
	measured  bool
}

// request sends an online request to the next endpoint.
func (r *replay) request(q *replayRequest) {
	request := Request{Deployment: model, Avoid: q.avoid, MaxWait: maxWait}
	if q.mayRun {
		request.MaxWait = time.Minute
	}
	grant, _ := q.entry.table.Place(r.now, request)
	if grant == nil || q.attempts == maxAttempts {
		if grant != nil {
			grant.Release(r.now, Aborted, 0)
		}
		if q.measured {
			r.replayed.refused++
		}
		return
	}
	if q.attempts++; q.attempts == 2 && q.measured {
		r.replayed.secondEndpoint++
	}
	if grant.Load.Online+grant.Load.Batch >= replaySlots {
		r.preempt(q.entry)
	}
	q.avoid[grant.Key()] = true
	server := r.servers[grant.Key()]
	far := delay(q.entry.dataCentre, server.DataCentre)
	w := &work{events: onlineEvents}
	w.begun = func() {
		if q.measured {
			r.observe(q, r.now+far-q.arrivedAt)
		}
	}
	w.ended = func() { r.after(far, func() { grant.Release(r.now, Done, w.gap) }) }
	w.rejected = func() {
		r.after(far, func() {
			w.cancelled = true
			grant.Release(r.now, Full, 0)
			r.request(q)
		})
	}
	r.after(far, func() { server.arrive(w) })
	r.after(abandonCheck, func() {
		request := Request{Deployment: model, Avoid: q.avoid}
		if w.started || w.cancelled || q.attempts > 1 || !q.entry.table.HasFreeSlot(r.now, request) {
			return
		}
		w.cancelled, q.mayRun = true, true
		grant.Release(r.now, Aborted, 0)
		r.after(far, func() { server.cancel(w) })
		r.request(q)
	})
}

// observe adds the time to the first event of a request.
func (r *replay) observe(q *replayRequest, d time.Duration) {
	r.firstSeen = append(r.firstSeen, d)
	if q.peak {
		r.firstPeak = append(r.firstPeak, d)
	} else {
		r.firstTrough = append(r.firstTrough, d)
	}
}
