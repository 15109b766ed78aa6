package jobs

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/sleep"
)

// Budget is the rate limit on the chunk appends of the whole fleet.
type Budget interface {
	// Take takes one append out of the budget. If there is none, wait is the
	// time until there will be one; reached is false if the budget can't be
	// reached now.
	Take(ctx context.Context) (ok bool, wait time.Duration, reached bool)
}

// minBudgetPoll is the shortest time between two calls to a budget.
const minBudgetPoll = 20 * time.Millisecond

// waitAppend waits until a chunk may be appended: until the fleet's budget
// admits it or, while that can't be reached, this entry's equal part of it
// does. It returns false if ctx ends first.
func (s *Service) waitAppend(ctx context.Context) bool {
	for s.opts.ChunkAppendBudget != nil {
		ok, wait, reached := s.opts.ChunkAppendBudget.Take(ctx)
		if ok {
			return true
		}
		if !reached {
			break
		}
		if !sleep.For(ctx, max(wait, minBudgetPoll)) {
			return false
		}
	}
	entries := max(len(s.opts.Members.Entries()), 1)
	wait := s.pacer.reserve(time.Now(), ChunkAppendsPerSecond/float64(entries))
	return sleep.For(ctx, wait)
}

// pacerBurst is the number of chunk appends that an entry may make at once
// while the budget can't be reached.
const pacerBurst = 4

// pacer limits the rate of appends of one entry. It is safe for concurrent use
// and starts no goroutines.
type pacer struct {
	mu   sync.Mutex
	next time.Time // time of the next append; if in the past, the difference is unused burst
}

// reserve reserves the next append, at a rate in appends per second, and returns
// how long to wait for it.
func (p *pacer) reserve(now time.Time, rate float64) time.Duration {
	interval := time.Duration(float64(time.Second) / rate)
	p.mu.Lock()
	defer p.mu.Unlock()
	earliest := now.Add(-(pacerBurst - 1) * interval)
	if p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(interval)
	return max(wait, 0)
}
