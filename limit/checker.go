package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// checkerShards is the number of locks that the customers are spread over.
const checkerShards = 32

// AdmissionChecker verifies after the fact that admissions stayed within the
// bound. Per customer it keeps one virtual bucket, which goes below zero if
// and only if some window of length t up to now held more than rate*t + burst
// admissions.
type AdmissionChecker struct {
	slack  time.Duration // by which admissions may be counted out of order
	shards [checkerShards]checkerShard
}

type checkerShard struct {
	mu      sync.Mutex
	buckets map[string]virtualBucket
}

type virtualBucket struct {
	limits    Limits
	level     float64
	updatedAt time.Time
}

// NewAdmissionChecker returns an AdmissionChecker without admissions.
// Admissions may be counted out of order by up to slack.
func NewAdmissionChecker(slack time.Duration) *AdmissionChecker {
	c := &AdmissionChecker{slack: slack}
	for i := range c.shards {
		c.shards[i].buckets = make(map[string]virtualBucket)
	}
	return c
}

// Check counts one admission at now and reports whether the bound still holds.
// A change of limits restarts the count.
func (c *AdmissionChecker) Check(now time.Time, customer string, limits Limits) bool {
	shard := c.shard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b := shard.bucket(now, customer, limits)
	b.level--
	shard.buckets[customer] = b
	return b.level >= -1e3*epsilon-limits.Rate*c.slack.Seconds()
}

func (c *AdmissionChecker) shard(customer string) *checkerShard {
	return &c.shards[xxhash.Sum64String(customer)%checkerShards]
}

// bucket returns the virtual bucket advanced to now. The caller holds the
// lock.
func (s *checkerShard) bucket(now time.Time, customer string, limits Limits) virtualBucket {
	b, ok := s.buckets[customer]
	if !ok || b.limits != limits {
		return virtualBucket{limits: limits, level: limits.Burst, updatedAt: now}
	}
	if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(limits.Burst, b.level+limits.Rate*d.Seconds())
		b.updatedAt = now
	}
	return b
}
