package eventstream

import "time"

// IntervalMeter measures the interval between the events of one stream.
type IntervalMeter struct {
	events      int
	first, last time.Time
}

// Observe records an event received now.
func (p *IntervalMeter) Observe() {
	p.last = time.Now()
	if p.events == 0 {
		p.first = p.last
	}
	p.events++
}

// Mean returns the mean interval between events, or 0 if fewer than minEvents, or
// fewer than two, were observed.
func (p *IntervalMeter) Mean(minEvents int) time.Duration {
	if p.events < max(minEvents, 2) {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}
