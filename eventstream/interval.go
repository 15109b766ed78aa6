package eventstream

import "time"

// IntervalMeter measures the time between the events of one answer.
type IntervalMeter struct {
	events      int
	first, last time.Time
}

// Observe notes an event that came now.
func (p *IntervalMeter) Observe() {
	p.last = time.Now()
	if p.events == 0 {
		p.first = p.last
	}
	p.events++
}

// Mean returns the mean time between events; 0 before there were least of them,
// which are at least two.
func (p *IntervalMeter) Mean(minEvents int) time.Duration {
	if p.events < max(minEvents, 2) {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}
