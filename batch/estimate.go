package batch

import (
	"sync"
	"time"

	"dandelionrelay/placement"
)

// estimateWeight is the weight of a new observation in the moving averages of an estimator.
const estimateWeight = 0.1

// estimator estimates how long an item still runs, from the items of its route that this
// entry has completed. It answers waves of online requests, in which an item is to start
// where it ends before the next peak. Its methods may be called concurrently.
type estimator struct {
	mu     sync.Mutex
	routes map[string]routeEstimate
}

// routeEstimate holds moving averages of a route's items.
type routeEstimate struct {
	eventsPerToken float64 // events of an item by its tokens
	interval       float64 // between events, in seconds
}

func newEstimator() *estimator { return &estimator{routes: make(map[string]routeEstimate)} }

// observe records an item of a route that is complete after some events. interval is that
// between the events of its last run; nothing is recorded if it is 0.
func (e *estimator) observe(route string, tokens, events int, interval time.Duration) {
	if tokens <= 0 || events <= 0 || interval <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := routeEstimate{eventsPerToken: float64(events) / float64(tokens), interval: interval.Seconds()}
	if old, ok := e.routes[route]; ok {
		now.eventsPerToken = old.eventsPerToken + estimateWeight*(now.eventsPerToken-old.eventsPerToken)
		now.interval = old.interval + estimateWeight*(now.interval-old.interval)
	}
	e.routes[route] = now
}

// remaining returns the time that an item with a number of tokens still runs after some
// events, at least that of one event; 0 if no item of the route was observed.
func (e *estimator) remaining(route string, tokens, events int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.routes[route]
	if !ok {
		return 0
	}
	left := max(1, known.eventsPerToken*float64(tokens)-float64(events))
	return time.Duration(left * known.interval * float64(time.Second))
}

// itemTimes returns what is known of the time of a waiting item.
func (r *runner) itemTimes(p *progress, j view, due time.Time, now time.Time) placement.ItemTimes {
	return placement.ItemTimes{
		Remaining: r.estimates.remaining(j.Route, j.Items[p.id.item].Tokens, p.events),
		Due:       due.After(j.Submitted),
		UntilDue:  due.Sub(now),
	}
}
