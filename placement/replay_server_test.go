package placement

import (
	"slices"
	"time"
)

// work is one run of a request or item at an endpoint.
type work struct {
	batch     bool
	events    int // to be sent
	begun     func()
	ended     func()
	rejected  func()
	started   bool
	cancelled bool
	finished  bool
	firstAt   time.Duration
	gap       time.Duration
}

// replayServer is an endpoint in the simulation: it runs its slots' number of requests in
// order of arrival.
type replayServer struct {
	*replay
	Endpoint
	running int
	waiting []*work
}

// arrive takes a request.
func (s *replayServer) arrive(w *work) {
	if s.measuring() {
		s.replayed.arrivals++
	}
	if w.cancelled {
		return
	}
	switch {
	case s.running < s.Slots:
		s.start(w)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, w)
	default:
		if s.measuring() {
			s.replayed.rejected++
		}
		w.rejected()
	}
}

func (s *replayServer) start(w *work) {
	s.running++
	w.started = true
	prefill, tokens := prefillTime, onlineTokens
	if w.batch {
		prefill, tokens = itemPrefillTime, itemTokens
	}
	prefill += time.Duration(s.running) * stepTimePerRequest
	w.firstAt = s.now + prefill
	w.gap = time.Duration(tokens) * stepTime(s.running)
	s.after(prefill, func() {
		if !w.cancelled {
			w.begun()
		}
	})
	s.after(prefill+time.Duration(w.events-1)*w.gap, func() {
		if w.finished {
			return
		}
		s.finish(w)
		w.ended()
	})
}

// finish releases the slot of w and starts the next request.
func (s *replayServer) finish(w *work) {
	w.finished = true
	s.running--
	for len(s.waiting) > 0 && s.running < s.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

// cancel ends w after the end of a step.
func (s *replayServer) cancel(w *work) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if !w.started {
		return
	}
	s.after(stepTime(s.running), func() {
		if !w.finished {
			s.finish(w)
		}
	})
}

// delay returns the time from an entry to an endpoint or another entry.
func delay(from, to string) time.Duration {
	if from == to {
		return nearDelay
	}
	return farDelay
}
