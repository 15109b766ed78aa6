package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const ledgerShards = 32

// AdmissionChecker checks after the fact that admissions stayed inside the bound. Per
// customer it keeps one virtual bucket, which goes below zero if and only if
// some window of length t up to now held more than rate*t + burst admissions.
type AdmissionChecker struct {
	slack  time.Duration
	shards [ledgerShards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	buckets map[string]virtualBucket
}

type virtualBucket struct {
	limits Limits
	level  float64
	last   time.Time
}

// NewAdmissionChecker returns a Ledger without admissions. Admissions may be counted
// out of order by up to slack.
func NewAdmissionChecker(slack time.Duration) *AdmissionChecker {
	l := &AdmissionChecker{slack: slack}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]virtualBucket)
	}
	return l
}

// Check counts one admission at now and reports whether the bound still
// holds. A change of limits starts a new count.
func (l *AdmissionChecker) Check(now time.Time, customer string, limits Limits) bool {
	shard := l.shard(customer)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b := shard.bucket(now, customer, limits)
	b.level--
	shard.buckets[customer] = b
	return b.level >= -1e3*epsilon-limits.Rate*l.slack.Seconds()
}

func (l *AdmissionChecker) shard(customer string) *ledgerShard {
	return &l.shards[xxhash.Sum64String(customer)%ledgerShards]
}

// bucket returns the bucket as of now. The caller holds the lock.
func (s *ledgerShard) bucket(now time.Time, customer string, limits Limits) virtualBucket {
	b, ok := s.buckets[customer]
	if !ok || b.limits != limits {
		return virtualBucket{limits: limits, level: limits.Burst, last: now}
	}
	if d := now.Sub(b.last); d > 0 {
		b.level = min(limits.Burst, b.level+limits.Rate*d.Seconds())
		b.last = now
	}
	return b
}
