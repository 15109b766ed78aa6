package eventstream

import "time"

// IntervalMeter measures the mean interval between the events of one stream. The zero
// value is ready to use.
type IntervalMeter struct {
	events      int
	first, last time.Time
}

// Observe records an event received now.
func (m *IntervalMeter) Observe() {
	m.last = time.Now()
	if m.events == 0 {
		m.first = m.last
	}
	m.events++
}

// Mean returns the mean interval between events, or 0 if fewer than minEvents, or
// fewer than two, were observed.
func (m *IntervalMeter) Mean(minEvents int) time.Duration {
	if m.events < max(minEvents, 2) {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.events-1)
}
