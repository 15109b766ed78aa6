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
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/quarantine"
	"dandelionrelay/sleep"
)

// Options configures a Service.
type Options struct {
	Self            string // instance ID of this entry
	Log             infra.Log
	Members         membership.Members
	Pool            *peer.Pool
	Config          config.Source
	Invariants      *invariant.Set
	Suspects        quarantine.Tracker // nil: no suspects are known
	Retention       time.Duration      // of the log; 0: unlimited
	ResultRetention time.Duration      // after the expiry time of a job; 0: DefaultResultRetention
	// ChunkAppendBudget limits chunk appends; nil: each entry has an equal part
	// of ChunkAppendsPerSecond.
	ChunkAppendBudget Budget
	// OnBadRecord is called for records that can't be decoded; may be nil.
	OnBadRecord func(stream string, offset infra.Offset, err error)
	// CheckLocality decides whether an item of a customer may run in a data centre; nil: in
	// any. The route is empty if it is not known, as in records of earlier releases.
	CheckLocality func(customer, deployment, route, dataCentre string) locality.Verdict
	Metrics       prometheus.Registerer // may be nil
	Logger        zerolog.Logger
}

// Service runs the batch jobs of one entry. It owns partitions while Run runs.
// Until Run is called, calls that need a partition of this entry fail with
// NotReady.
type Service struct {
	opts        Options
	noncePrefix string
	nonceCount  atomic.Uint64
	cache       *cache
	fair        *fairQueue
	pacer       *pacer
	metrics     *metrics

	pullers     pullers
	locations   locations
	mu          sync.Mutex
	ctx         context.Context // of Run; nil while it does not run
	partitions  map[int]*partition
	entryIDs    []string // IDs of the entries at the last refresh
	owned       []int    // numbers of the owned partitions
	workChanged chan struct{}
	wg          sync.WaitGroup
}

// maxNonOwnedPartitions is the largest number of partitions of other owners that
// are replayed here while their owner can't be reached.
const maxNonOwnedPartitions = 4

// nonOwnedIdleTimeout is the time after which such a partition is stopped if it
// is not used.
const nonOwnedIdleTimeout = time.Minute

// NewService returns a Service.
func NewService(o Options) *Service {
	if o.ResultRetention == 0 {
		o.ResultRetention = DefaultResultRetention
	}
	if o.CheckLocality == nil {
		o.CheckLocality = func(_, _, _, _ string) locality.Verdict { return locality.Allowed }
	}
	if o.Suspects == nil {
		o.Suspects = quarantine.NopTracker{}
	}
	s := &Service{
		opts:        o,
		noncePrefix: fmt.Sprintf("%s-%s", o.Self, rand.Text()[:10]),
		cache:       newCache(o.Log),
		fair:        newFairQueue(),
		pacer:       new(pacer),
		partitions:  make(map[int]*partition),
		workChanged: make(chan struct{}),
	}
	s.metrics = newMetrics(o.Metrics, s)
	return s
}

// Run runs the partitions that this entry owns until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.reconcilePartitions(time.Now())
	for sleep.For(ctx, time.Second) {
		s.reconcilePartitions(time.Now())
	}
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.wg.Wait()
}

// reconcilePartitions starts the partitions that this entry owns and stops the
// others once they are idle.
func (s *Service) reconcilePartitions(now time.Time) {
	s.mu.Lock()
	s.refreshOwned()
	for _, n := range s.owned {
		if _, ok := s.partitions[n]; !ok {
			s.startPartition(n)
		}
	}
	all := maps.Clone(s.partitions)
	owned := s.owned
	s.mu.Unlock()
	for n, p := range all {
		if p.updateOwnership(slices.Contains(owned, n), now) {
			s.stopPartition(n)
		}
	}
}

func (s *Service) stopPartition(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[n].cancel()
	delete(s.partitions, n)
}

// refreshOwned recomputes which partitions are owned if the members have
// changed. The caller holds the lock.
func (s *Service) refreshOwned() {
	entries := s.opts.Members.Entries()
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	if s.entryIDs != nil && slices.Equal(ids, s.entryIDs) {
		return
	}
	s.entryIDs = ids
	s.owned = nil
	for n := range Partitions {
		ranked := membership.Rank(streamName(n), entries)
		if len(ranked) > 0 && ranked[0].ID == s.opts.Self {
			s.owned = append(s.owned, n)
		}
	}
}

// startPartition starts to replay a partition. The caller holds the lock.
func (s *Service) startPartition(n int) *partition {
	p := newPartition(s, n)
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	s.partitions[n] = p
	s.wg.Go(func() { p.run(ctx) })
	return p
}

// partition returns partition n, and starts it if it does not run here yet. It
// returns NotReady if it can't start it.
func (s *Service) partition(n int) (*partition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.partitions[n]; ok {
		return p, nil
	}
	if s.ctx == nil {
		return nil, NotReady.New("the job service does not run")
	}
	if len(s.partitions)-len(s.owned) >= maxNonOwnedPartitions {
		return nil, NotReady.New("too many partitions are replayed here")
	}
	return s.startPartition(n), nil
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

// updateOwnership records whether p is owned and reports whether it can be
// stopped.
func (p *partition) updateOwnership(owned bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owned && !p.owned && p.ready && len(p.scheduler.openJobs()) > 0 {
		p.assignAfter = now.Add(TakeoverGrace)
	}
	p.owned = owned
	waiting := p.writer.inFlight || len(p.writer.pending) > 0
	return !owned && !waiting && now.Sub(p.lastUsed) > nonOwnedIdleTimeout
}

// workChanges returns a channel that is closed when there may be items to
// assign.
func (s *Service) workChanges() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workChanged
}

// notifyWork wakes the pulls that wait for items.
func (s *Service) notifyWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.workChanged)
	s.workChanged = make(chan struct{})
}

// nextNonce returns a string that no other call returns, in any process.
func (s *Service) nextNonce() string {
	return fmt.Sprintf("%s-%d", s.noncePrefix, s.nonceCount.Add(1))
}

func (s *Service) reportBadRecord(stream string, offset infra.Offset, err error) {
	if s.opts.OnBadRecord != nil {
		s.opts.OnBadRecord(stream, offset, err)
	}
}

// hashPartition returns the partition for a key.
func hashPartition(key string) int {
	return int(xxhash.Sum64String(key) % Partitions)
}
