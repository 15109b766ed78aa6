package limit

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/peer"
	"dandelionrelay/pipeline"
	"dandelionrelay/sleep"
)

// Timing and bounds of the calls to other entries.
const (
	takeTimeout     = 250 * time.Millisecond // of the take calls of one step, and of a ping
	settleTimeout   = time.Second            // of one settle call
	settleQueueSize = 4096                   // settle calls waiting to be sent; more are dropped and their grants expire
	settleWorkers   = 8                      // goroutines that send settle calls
	checkerSlack    = 50 * time.Millisecond  // admissions may be counted out of order by this much
)

// Options configures a Service.
type Options struct {
	Self       infra.Instance // ID and RPCAddr of this entry
	Log        infra.Log
	Instances  infra.Instances
	Config     config.Source
	Pool       *peer.Pool
	Invariants *invariant.Set
	Buckets    map[string]Limits // limits of the fleet-wide buckets that belong to no customer, by an ID that no customer has
	Scheme     Scheme
	Metrics    prometheus.Registerer // may be nil
	Logger     zerolog.Logger
}

// Service admits requests at one entry and grants tokens from the shares that
// the entry holds. Run must be running meanwhile.
type Service struct {
	Options
	table           *Table
	granter         *Granter
	acquirer        *Acquirer
	checker         *AdmissionChecker
	metrics         *metrics
	appliedSnapshot atomic.Pointer[config.Snapshot] // whose limits the granter has

	settleCalls chan SettleCall
	draining    atomic.Bool
	limitsMu    sync.Mutex // serialises changes of the limits
}

// NewService returns a Service. Its RPC service must be registered as "Limit"
// with the entry's peer server, and Run be started.
func NewService(o Options) *Service {
	table := NewTable(o.Self.ID, o.Self.RPCAddr, time.Now())
	return &Service{
		Options:     o,
		table:       table,
		granter:     NewGranter(o.Invariants),
		acquirer:    NewAcquirer(table, o.Scheme),
		checker:     NewAdmissionChecker(checkerSlack),
		metrics:     newMetrics(o.Metrics),
		settleCalls: make(chan SettleCall, settleQueueSize),
	}
}

// Run follows the log, maintains this entry's shares and sends settle calls
// until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range settleWorkers {
		wg.Go(func() { s.runSettleWorker(ctx) })
	}
	wg.Go(func() { s.tick(ctx) })
	newFollower(s).run(ctx)
	wg.Wait()
}

// tick calls Table.Tick, which detects pauses of the process, and applies new
// limits, every MaxTickGap/4 until ctx ends.
func (s *Service) tick(ctx context.Context) {
	t := time.NewTicker(MaxTickGap / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.table.Tick(time.Now())
			s.refreshLimits()
		}
	}
}

// Ready reports whether this entry knows the holders of all shares.
func (s *Service) Ready() bool { return s.table.Complete() }

// HandOver hands over the partitions that this entry holds, and returns once it
// holds none or ctx ends. Requests are admitted as before.
func (s *Service) HandOver(ctx context.Context) {
	s.draining.Store(true)
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for s.table.HeldCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Admit reports whether a customer's request is within its rate and burst now.
// If not, wait is the time until a token will exist, and unavailable is true if
// no holder replied for its share. If ctx ends during a wait between two steps,
// ok and unavailable are false and wait is 0.
func (s *Service) Admit(ctx context.Context, customer string, l Limits) (ok bool, wait time.Duration, unavailable bool) {
	acq := s.acquirer.Begin(time.Now(), customer, l)
	for {
		now := time.Now()
		step := acq.Next(now)
		switch step.Action {
		case Admit:
			s.finishAcquisition(acq, true)
			s.checkBound(now, customer, l)
			return true, 0, false
		case Refuse:
			s.metrics.countRefusal(acq, now)
			s.finishAcquisition(acq, false)
			return false, step.Wait, step.Unavailable
		case Wait:
			s.enqueueSettleCalls(step.SettleCalls)
			if !sleep.For(ctx, step.Wait) {
				s.finishAcquisition(acq, false)
				return false, 0, false
			}
		case Take:
			s.sendTakeCalls(ctx, acq, step.TakeCalls)
		}
	}
}

// checkBound verifies that the admissions of this entry alone are within the
// bound.
func (s *Service) checkBound(now time.Time, customer string, l Limits) {
	ok := s.checker.Check(now, customer, l)
	s.Invariants.Check(ok, invariant.RateBound, "customer %s: this entry alone admitted more than %+v", customer, l)
}

// takeResult is the result of one take call.
type takeResult struct {
	call  TakeCall
	reply TakeReply
	err   error
}

// sendTakeCalls makes the calls concurrently and passes their results to acq.
func (s *Service) sendTakeCalls(ctx context.Context, acq *Acquisition, calls []TakeCall) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	results := make(chan takeResult, len(calls))
	for _, call := range calls {
		call.Args.Request = pipeline.RequestID(ctx)
		if call.Holder == s.Self.ID {
			results <- takeResult{call: call, reply: s.takeLocal(call.Args)}
			continue
		}
		go func() {
			result := takeResult{call: call}
			result.err = s.Pool.Call(ctx, call.Addr, MethodTake, call.Args, &result.reply)
			results <- result
		}()
	}
	for range calls {
		result := <-results
		if result.err != nil {
			acq.HandleFailure(time.Now(), result.call)
			continue
		}
		acq.HandleReply(time.Now(), result.call, result.reply)
	}
}

// takeLocal returns the reply to a take call from the shares that this entry holds.
func (s *Service) takeLocal(args TakeArgs) TakeReply {
	s.refreshLimits()
	now := time.Now()
	if args.Share < 0 || args.Share >= MaxShares {
		return TakeReply{}
	}
	tenure, ok := s.table.Tenure(now, Partition(args.Customer, args.Share))
	if !ok {
		return TakeReply{}
	}
	return s.granter.Take(now, tenure, args)
}

// refreshLimits passes the limits of the configuration snapshot in force to
// the granter.
func (s *Service) refreshLimits() {
	if s.appliedSnapshot.Load() == s.Config.Current() {
		return
	}
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	snapshot := s.Config.Current()
	if s.appliedSnapshot.Load() == snapshot {
		return
	}
	limits := maps.Clone(s.Buckets)
	if limits == nil {
		limits = make(map[string]Limits, len(snapshot.State.Customers))
	}
	for id, c := range snapshot.State.Customers {
		limits[id] = Limits{Rate: c.Rate, Burst: c.Burst}
	}
	s.granter.SetLimits(time.Now(), limits)
	s.appliedSnapshot.Store(snapshot)
}

// finishAcquisition settles the grants of acq, locally or in the background.
func (s *Service) finishAcquisition(acq *Acquisition, admitted bool) {
	s.enqueueSettleCalls(acq.Finish(admitted))
}

// enqueueSettleCalls settles grants of this entry at once and queues the calls
// to other entries.
func (s *Service) enqueueSettleCalls(calls []SettleCall) {
	for _, call := range calls {
		if call.Holder == s.Self.ID {
			s.settleLocal(call.Args)
			continue
		}
		select {
		case s.settleCalls <- call:
		default: // queue full: the grants expire unsettled
		}
	}
}

// settleLocal ends grants of the shares that this entry holds.
func (s *Service) settleLocal(args SettleArgs) {
	now := time.Now()
	for _, settlement := range args.Grants {
		s.granter.Settle(now, settlement)
	}
}

// runSettleWorker sends queued settle calls until ctx ends.
func (s *Service) runSettleWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.settleCalls:
			callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
			_ = s.Pool.Call(callCtx, call.Addr, MethodSettle, call.Args, &SettleReply{})
			cancel()
		}
	}
}

// RPC returns the net/rpc service to register as "Limit".
func (s *Service) RPC() any { return &rpcService{s} }

type rpcService struct{ service *Service }

// Take takes tokens from a share that this entry holds.
func (r *rpcService) Take(args TakeArgs, reply *TakeReply) error {
	*reply = r.service.takeLocal(args)
	r.service.logTake(args, reply)
	return nil
}

// Settle ends grants.
func (r *rpcService) Settle(args SettleArgs, _ *SettleReply) error {
	r.service.settleLocal(args)
	return nil
}

// Ping replies with the instance ID of this entry.
func (r *rpcService) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = r.service.Self.ID
	return nil
}
