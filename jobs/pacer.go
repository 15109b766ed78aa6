package jobs

import (
	"sync"
	"time"
)

// paceBurst is the number of chunk appends that an entry may make at once.
const paceBurst = 4

// pacer spaces appends. It is passive.
type pacer struct {
	mu   sync.Mutex
	next time.Time // when the bucket would have been empty
}

// reserve returns how long to wait for the next append at rate appends a
// second.
func (p *pacer) reserve(now time.Time, rate float64) time.Duration {
	interval := time.Duration(float64(time.Second) / rate)
	p.mu.Lock()
	defer p.mu.Unlock()
	earliest := now.Add(-(paceBurst - 1) * interval)
	if p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(interval)
	return max(wait, 0)
}
