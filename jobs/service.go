package jobs

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/quarantine"
	"dandelionrelay/sleep"
)

// Options is what a Service needs.
type Options struct {
	Self            string // instance id of this entry
	Log             infra.Log
	Members         membership.Members
	Pool            *peer.Pool
	Config          config.Source
	Invariants      *invariant.Set
	Suspects        quarantine.Tracker // nil: none are known
	Retention       time.Duration      // of the log; 0: for ever
	ResultRetention time.Duration      // after the due time; 0: DefaultResultsKept
	// ChunkAppendBudget admits chunk appends; nil: an equal part for each entry.
	ChunkAppendBudget Budget
	// OnBadRecord is told of records that are not ours; nil: ignored.
	OnBadRecord func(stream string, offset infra.Offset, err error)
	Metrics     prometheus.Registerer // may be nil
	Logger      zerolog.Logger
}

// Service runs the batch jobs of one entry. Run must be running for it to
// work.
type Service struct {
	o       Options
	boot    string
	count   atomic.Uint64
	cache   *cache
	fair    *fairQueue
	pace    *pacer
	metrics *metrics

	pullers    pullers
	mu         sync.Mutex
	ctx        context.Context // of Run; nil before
	partitions map[int]*partition
	members    []string // ids of the entries at the last look
	owned      []int
	changed    chan struct{}
	wg         sync.WaitGroup
}

// maxBorrowed is the number of partitions of other owners that are replayed
// here while their owner cannot be reached.
const maxBorrowed = 4

// borrowTime is how long an unused one is kept.
const borrowTime = time.Minute

// NewService returns a Service.
func NewService(o Options) *Service {
	if o.ResultRetention == 0 {
		o.ResultRetention = DefaultResultRetention
	}
	if o.Suspects == nil {
		o.Suspects = quarantine.NopTracker{}
	}
	s := &Service{
		o:          o,
		boot:       fmt.Sprintf("%s-%s", o.Self, rand.Text()[:10]),
		cache:      newCache(o.Log),
		fair:       newFairQueue(),
		pace:       new(pacer),
		partitions: make(map[int]*partition),
		changed:    make(chan struct{}),
	}
	s.metrics = newMetrics(o.Metrics, s)
	return s
}

// Run owns partitions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.assign(time.Now())
	for sleep.For(ctx, time.Second) {
		s.assign(time.Now())
	}
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.wg.Wait()
}

// assign starts the partitions that this entry owns and stops idle others.
func (s *Service) assign(now time.Time) {
	s.mu.Lock()
	s.refreshOwned()
	for _, n := range s.owned {
		if _, ok := s.partitions[n]; !ok {
			s.start(n)
		}
	}
	all := maps.Clone(s.partitions)
	owned := s.owned
	s.mu.Unlock()
	for n, p := range all {
		if p.idle(slices.Contains(owned, n), now) {
			s.stop(n)
		}
	}
}

func (s *Service) stop(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[n].cancel()
	delete(s.partitions, n)
}

// refreshOwned works out which partitions are owned if the members changed.
// The caller holds the lock.
func (s *Service) refreshOwned() {
	entries := s.o.Members.Entries()
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	if s.members != nil && slices.Equal(ids, s.members) {
		return
	}
	s.members = ids
	s.owned = nil
	for n := range Partitions {
		ranked := membership.Rank(streamName(n), entries)
		if len(ranked) > 0 && ranked[0].ID == s.o.Self {
			s.owned = append(s.owned, n)
		}
	}
}

// start replays a partition. The caller holds the lock.
func (s *Service) start(n int) *partition {
	p := newPartition(s, n)
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	s.partitions[n] = p
	s.wg.Go(func() { p.run(ctx) })
	return p
}

// partition returns a partition, replaying it here if it is not yet.
func (s *Service) partition(n int) (*partition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.partitions[n]; ok {
		return p, nil
	}
	if s.ctx == nil {
		return nil, NotReady.New("the job service does not run")
	}
	if len(s.partitions)-len(s.owned) >= maxBorrowed {
		return nil, NotReady.New("too many partitions are replayed here")
	}
	return s.start(n), nil
}

// ownedPartitions returns the partitions that this entry owns.
func (s *Service) ownedPartitions() []*partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*partition, 0, len(s.owned))
	for _, n := range s.owned {
		if p, ok := s.partitions[n]; ok {
			out = append(out, p)
		}
	}
	return out
}

// idle notes whether p is owned and says whether it can be stopped.
func (p *partition) idle(owned bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owned && !p.owned && p.ready && len(p.owner.openJobs()) > 0 {
		p.handOut = now.Add(TakeoverGrace)
	}
	p.owned = owned
	waiting := p.writer.flight || len(p.writer.pending) > 0
	return !owned && !waiting && now.Sub(p.used) > borrowTime
}

// changes returns a channel that is closed when there may be work.
func (s *Service) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextNonce returns a string that no other call returns, in any process.
func (s *Service) nextNonce() string {
	return fmt.Sprintf("%s-%d", s.boot, s.count.Add(1))
}

func (s *Service) badRecord(stream string, offset infra.Offset, err error) {
	if s.o.OnBadRecord != nil {
		s.o.OnBadRecord(stream, offset, err)
	}
}

// hashPartition returns the partition for a key.
func hashPartition(key string) int {
	return int(xxhash.Sum64String(key) % Partitions)
}
