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

// Times and bounds of the calls to others.
const (
	askTimeout    = 250 * time.Millisecond
	settleTimeout = time.Second
	settleQueue   = 4096 // settlements waiting to be sent; more are dropped and expire
	settleWorkers = 8
	ledgerSlack   = 50 * time.Millisecond
)

// Options are what a Service needs.
type Options struct {
	Self       infra.Instance // ID and RPCAddr of this entry
	Log        infra.Log
	Instances  infra.Instances
	Config     config.Source
	Pool       *peer.Pool
	Invariants *invariant.Set
	Buckets    map[string]Limits // shared by the fleet beside those of customers, by an id that no customer has
	Scheme     Scheme
	Metrics    prometheus.Registerer // may be nil
	Logger     zerolog.Logger
}

// Service admits requests at one entry and mints the shares that the entry
// holds. Run drives it.
type Service struct {
	Options
	table   *Table
	minter  *Granter
	taker   *Acquirer
	ledger  *AdmissionChecker
	metrics *metrics
	seen    atomic.Pointer[config.Snapshot] // whose limits the minter has

	returns chan SettleCall
	leaving atomic.Bool
	limits  sync.Mutex // serialises changes of the limits
}

// NewService returns a Service; register RPC of it as "Limit" with the
// entry's peer server, and start Run.
func NewService(o Options) *Service {
	table := NewTable(o.Self.ID, o.Self.RPCAddr, time.Now())
	return &Service{
		Options: o,
		table:   table,
		minter:  NewGranter(o.Invariants),
		taker:   NewAcquirer(table, o.Scheme),
		ledger:  NewAdmissionChecker(ledgerSlack),
		metrics: newMetrics(o.Metrics),
		returns: make(chan SettleCall, settleQueue),
	}
}

// Run follows the log, keeps this entry's shares and sends settlements until
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range settleWorkers {
		wg.Go(func() { s.sendReturns(ctx) })
	}
	wg.Go(func() { s.tick(ctx) })
	newFollower(s).run(ctx)
	wg.Wait()
}

// tick tells the table that the process has not been paused, and the minter of
// new limits.
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

// Ready reports whether this entry knows whom to ask for every customer's
// tokens.
func (s *Service) Ready() bool { return s.table.Complete() }

// Leave hands over what this entry holds, and returns once it holds nothing
// or ctx ends. Requests are admitted as before.
func (s *Service) Leave(ctx context.Context) {
	s.leaving.Store(true)
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

// Admit reports whether a customer's request is inside its rate and burst
// now. If not, wait is the time until a token will exist, and unavailable
// says that the shares could not be asked.
func (s *Service) Admit(ctx context.Context, customer string, l Limits) (ok bool, wait time.Duration, unavailable bool) {
	g := s.taker.Begin(time.Now(), customer, l)
	for {
		now := time.Now()
		step := g.Next(now)
		switch step.Action {
		case Admit:
			s.finish(g, true)
			s.check(now, customer, l)
			return true, 0, false
		case Refuse:
			s.metrics.refused(g, now)
			s.finish(g, false)
			return false, step.Wait, step.Unavailable
		case Wait:
			s.send(step.SettleCalls)
			if !sleep.For(ctx, step.Wait) {
				s.finish(g, false)
				return false, 0, false
			}
		case Take:
			s.query(ctx, g, step.TakeCalls)
		}
	}
}

// check asserts that this entry alone stays inside the bound.
func (s *Service) check(now time.Time, customer string, l Limits) {
	ok := s.ledger.Check(now, customer, l)
	s.Invariants.Check(ok, invariant.RateBound, "customer %s: this entry alone admitted more than %+v", customer, l)
}

// answer is what came back of one ask.
type answer struct {
	ask   TakeCall
	reply TakeReply
	err   error
}

// query makes the asks at once and hands the answers to g.
func (s *Service) query(ctx context.Context, g *Acquisition, asks []TakeCall) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer, len(asks))
	for _, a := range asks {
		a.Args.Request = pipeline.RequestID(ctx)
		if a.Holder == s.Self.ID {
			answers <- answer{ask: a, reply: s.take(a.Args)}
			continue
		}
		go func() {
			out := answer{ask: a}
			out.err = s.Pool.Call(ctx, a.Addr, MethodTake, a.Args, &out.reply)
			answers <- out
		}()
	}
	for range asks {
		a := <-answers
		if a.err != nil {
			g.HandleFailure(time.Now(), a.ask)
			continue
		}
		g.HandleReply(time.Now(), a.ask, a.reply)
	}
}

// take answers an ask from the shares that this entry holds.
func (s *Service) take(a TakeArgs) TakeReply {
	s.refreshLimits()
	now := time.Now()
	if a.Share < 0 || a.Share >= MaxShares {
		return TakeReply{}
	}
	tenure, ok := s.table.Tenure(now, Partition(a.Customer, a.Share))
	if !ok {
		return TakeReply{}
	}
	return s.minter.Take(now, tenure, a)
}

// refreshLimits gives the minter the limits of the snapshot in force.
func (s *Service) refreshLimits() {
	if s.seen.Load() == s.Config.Current() {
		return
	}
	s.limits.Lock()
	defer s.limits.Unlock()
	snapshot := s.Config.Current()
	if s.seen.Load() == snapshot {
		return
	}
	limits := maps.Clone(s.Buckets)
	if limits == nil {
		limits = make(map[string]Limits, len(snapshot.State.Customers))
	}
	for id, c := range snapshot.State.Customers {
		limits[id] = Limits{Rate: c.Rate, Burst: c.Burst}
	}
	s.minter.SetLimits(time.Now(), limits)
	s.seen.Store(snapshot)
}

// finish settles the grants of g, here or in the background.
func (s *Service) finish(g *Acquisition, admitted bool) {
	s.send(g.Finish(admitted))
}

func (s *Service) send(returns []SettleCall) {
	for _, r := range returns {
		if r.Holder == s.Self.ID {
			s.settle(r.Args)
			continue
		}
		select {
		case s.returns <- r:
		default: // the grants expire by themselves
		}
	}
}

func (s *Service) settle(a SettleArgs) {
	now := time.Now()
	for _, g := range a.Grants {
		s.minter.Settle(now, g)
	}
}

func (s *Service) sendReturns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.returns:
			call, cancel := context.WithTimeout(ctx, settleTimeout)
			_ = s.Pool.Call(call, r.Addr, MethodSettle, r.Args, &SettleReply{})
			cancel()
		}
	}
}

// RPC returns the net/rpc service to register as "Limit".
func (s *Service) RPC() any { return &rpcService{s} }

type rpcService struct{ s *Service }

// Take answers an ask for tokens.
func (r *rpcService) Take(a TakeArgs, reply *TakeReply) error {
	*reply = r.s.take(a)
	r.s.logTake(a, reply)
	return nil
}

// Settle ends grants.
func (r *rpcService) Settle(a SettleArgs, _ *SettleReply) error {
	r.s.settle(a)
	return nil
}

// Ping answers that this entry runs.
func (r *rpcService) Ping(_ PingArgs, reply *PingReply) error {
	reply.ID = r.s.Self.ID
	return nil
}
