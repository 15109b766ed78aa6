package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"dandelionrelay/api"
)

// cold is the state of an engine that has started recently.
type cold struct {
	until    time.Time
	arrivals []time.Time // of the requests of the last second
}

// begin makes an engine with these options cold.
func (c *cold) begin(now time.Time, o Options) {
	if o.ColdRate > 0 {
		c.until = now.Add(o.ColdTime)
	}
	c.arrivals = nil
}

// arrive counts a request. It returns false if the engine is down, which it is after a
// rate well above the one that it tolerates while it is cold.
func (e *Engine) arrive() bool {
	e.mu.Lock()
	crashed := e.countArrival(time.Now())
	down := e.crashed || e.isClosed
	e.mu.Unlock()
	if crashed {
		e.notifyCrash()
	}
	return !down
}

// countArrival counts a request and crashes the engine if it is cold and there are too
// many. The caller holds the lock.
func (e *Engine) countArrival(now time.Time) (crashed bool) {
	if e.opts.ColdRate <= 0 || !now.Before(e.cold.until) || e.crashed {
		return false
	}
	e.cold.arrivals = slices.DeleteFunc(append(e.cold.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	e.stats.ColdPeak = max(e.stats.ColdPeak, len(e.cold.arrivals))
	if float64(len(e.cold.arrivals)) <= e.opts.ColdRate*e.opts.ColdCrash {
		return false
	}
	e.crash()
	return true
}

// setColdHeader sets the header with the time for which the engine remains cold, if it can
// be cold.
func (e *Engine) setColdHeader(w http.ResponseWriter) {
	if e.opts.ColdRate <= 0 {
		return
	}
	e.mu.Lock()
	left := max(0, time.Until(e.cold.until))
	e.mu.Unlock()
	w.Header().Set(api.HeaderCold, strconv.FormatInt(int64((left+time.Millisecond-1)/time.Millisecond), 10))
}
