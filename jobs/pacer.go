package jobs

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/sleep"
)

// Budget counts the chunk appends of the whole fleet.
type Budget interface {
	// Take takes one append out of the budget. If there is none, wait is the
	// time until there will be one; reached is false if the budget can't be
	// asked now.
	Take(ctx context.Context) (ok bool, wait time.Duration, reached bool)
}

// budgetPoll is the shortest time between two questions to a budget.
const minBudgetPoll = 20 * time.Millisecond

// awaitAppend waits until a chunk may be appended: the fleet's budget says so,
// or, while it can't be asked, this entry's equal part of it. It returns false
// if ctx ends before.
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

// paceBurst is the number of chunk appends that an entry may make at once
// without the budget.
const pacerBurst = 4

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
	earliest := now.Add(-(pacerBurst - 1) * interval)
	if p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(interval)
	return max(wait, 0)
}
