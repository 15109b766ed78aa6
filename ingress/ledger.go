package ingress

import (
	"container/list"
	"slices"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	phaseNone      phase = iota // not in the ledger
	phaseIdle                   // no byte of a request has come
	phaseReceiving              // the rest of a request is awaited
	phaseServing                // a request is served
	phaseWriting                // the other side is to take a part of the response
	phaseClosing                // the other side is to read a refusal and to close
)

// evictable lists the phases in which a connection may give way to others.
var evictable = []phase{phaseClosing, phaseIdle, phaseReceiving, phaseWriting}

// writeStall is the time after which the other side of a connection has stalled that takes
// nothing of a response.
const writeStall = time.Second

// holder is the part of a connection that the ledger keeps.
type holder struct {
	conn    *Conn
	phase   phase
	since   time.Time     // when its other side last sent something, or was answered
	element *list.Element // in the list of its phase
	bytes   int64         // memory of its request
	head    int64         // bytes read since it was idle, while these belong to a head
	// headMemory is the part of bytes that net/http holds until the connection is closed, if a
	// handler was called.
	headMemory int64
	handled    bool // a handler was called
}

// releasable returns the memory that becomes free if the request of h is refused.
func (h *holder) releasable() int64 {
	if h.handled && h.phase != phaseWriting {
		return h.bytes - h.headMemory
	}
	return h.bytes
}

// admitted reports whether h is in the ledger and was not refused.
func (h *holder) admitted() bool { return h.phase != phaseNone && h.phase != phaseClosing }

// ledger records what the connections of one listener hold, and decides which give way. It is
// not safe for concurrent use.
type ledger struct {
	limits Limits
	conns  int
	bytes  int64                // memory of all requests
	queues map[phase]*list.List // of *holder by evictable phase, the longest silent first
}

func newLedger(limits Limits) *ledger {
	l := &ledger{limits: limits, queues: make(map[phase]*list.List)}
	for _, p := range evictable {
		l.queues[p] = list.New()
	}
	return l
}

// add records h as idle. If that is one connection too many, it returns the one that is to be
// closed, which is h itself, not recorded, if all others are being served.
func (l *ledger) add(h *holder, now time.Time) (evicted *holder) {
	if l.conns >= l.limits.Conns {
		if evicted = l.longestSilent(now); evicted == nil {
			return h
		}
		l.remove(evicted)
	}
	l.conns++
	l.enter(h, phaseIdle, now)
	return evicted
}

// longestSilent returns the connection that gives way to a new one, or nil if there is none.
func (l *ledger) longestSilent(now time.Time) *holder {
	var longest *holder
	for _, p := range evictable {
		front := l.queues[p].Front()
		if front == nil {
			continue
		}
		h := front.Value.(*holder)
		if p == phaseClosing {
			return h
		}
		if p == phaseWriting && now.Sub(h.since) < writeStall {
			continue
		}
		if longest == nil || h.since.Before(longest.since) {
			longest = h
		}
	}
	return longest
}

// enter moves h to phase p, and to the end of the queue of that phase: its other side was
// heard of or answered now.
func (l *ledger) enter(h *holder, p phase, now time.Time) {
	h.since = now
	switch p {
	case phaseIdle:
		l.free(h)
	case phaseServing:
		h.handled = true
	}
	queue := l.queues[p]
	if h.phase == p && queue != nil {
		queue.MoveToBack(h.element)
		return
	}
	l.leaveQueue(h)
	h.phase = p
	if queue != nil {
		h.element = queue.PushBack(h)
	}
}

// reserve charges n more bytes to the request of h, for which the requests evicted give way. If
// that is not enough, it charges nothing and returns false; nothing is evicted then.
func (l *ledger) reserve(h *holder, n int64, now time.Time) (evicted []*holder, ok bool) {
	limit := l.limits.RequestBytes
	if h.bytes+n > smallRequestBytes {
		limit = l.limits.large()
	}
	if missing := l.bytes + n - limit; missing > 0 {
		if evicted = l.victims(h, missing, now); evicted == nil {
			return nil, false
		}
	}
	for _, v := range evicted {
		if v.phase == phaseWriting {
			l.remove(v) // there is no other response for its request
		} else {
			l.refuse(v)
		}
	}
	h.bytes += n
	l.bytes += n
	return evicted, true
}

// refuse frees what it can of the memory of the request of h, whose connection is about to be
// closed.
func (l *ledger) refuse(h *holder) {
	released := h.releasable()
	h.bytes -= released
	l.bytes -= released
	l.enter(h, phaseClosing, h.since)
}

// victims returns requests that give way to that of h and hold missing bytes or more together.
// It returns nil if there are not enough. Requests give way whose callers have stalled while
// they are answered, and those that are being received: large ones first, and of these the ones
// whose callers have been silent for longest.
func (l *ledger) victims(h *holder, missing int64, now time.Time) []*holder {
	var stalled, large, small []*holder
	for e := l.queues[phaseWriting].Front(); e != nil; e = e.Next() {
		if v := e.Value.(*holder); now.Sub(v.since) >= writeStall && v.bytes > 0 {
			stalled = append(stalled, v)
		}
	}
	for e := l.queues[phaseReceiving].Front(); e != nil; e = e.Next() {
		switch v := e.Value.(*holder); {
		case v == h || v.releasable() == 0:
		case v.releasable() > smallRequestBytes:
			large = append(large, v)
		default:
			small = append(small, v)
		}
	}
	ordered := slices.Concat(stalled, large, small)
	for n, v := range ordered {
		if missing -= v.releasable(); missing <= 0 {
			return ordered[:n+1]
		}
	}
	return nil
}

// free releases the memory of the request of h.
func (l *ledger) free(h *holder) {
	l.bytes -= h.bytes
	h.bytes, h.headMemory, h.head = 0, 0, 0
	h.handled = false
}

func (l *ledger) leaveQueue(h *holder) {
	if queue := l.queues[h.phase]; queue != nil {
		queue.Remove(h.element)
	}
	h.element = nil
}

// remove removes h and reports whether it was in the ledger.
func (l *ledger) remove(h *holder) bool {
	if h.phase == phaseNone {
		return false
	}
	l.free(h)
	l.leaveQueue(h)
	h.phase = phaseNone
	l.conns--
	return true
}
