package idempotency

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
)

const (
	// streams is how many streams the keys are spread over.
	streams = 16
	// clockMargin is how far the clocks of instances, callers and the log
	// may differ.
	clockMargin = time.Minute
	// beginTimeout bounds the wait for a begin's place in the log.
	beginTimeout = 3 * time.Second
	// maxFinishing bounds the calls whose end no home has taken yet.
	maxFinishing = 1024
	// drainTick is how often Drain looks again.
	drainTick = 50 * time.Millisecond
)

// Names of the RPC service and of its methods.
const (
	ServiceName  = "Calls"
	MethodBegin  = "Calls.Begin"
	MethodFinish = "Calls.Finish"
)

// Caller calls RPC methods of peers; peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Deps is what a Service works with.
type Deps struct {
	ID         string // instance id of this entry
	Log        infra.Log
	Retention  time.Duration // of the log; 0: for ever
	Members    membership.Members
	Peers      Caller
	Invariants *invariant.Set
	Logger     zerolog.Logger
}

// Service settles which request runs a call. Each entry has one.
type Service struct {
	deps      Deps
	window    time.Duration
	homes     [streams]*home
	end       context.CancelFunc // of the homes' work
	finishing chan struct{}      // one token for each end that no home has taken
}

// NewService returns a Service.
func NewService(d Deps) *Service {
	window := DedupWindow
	if d.Retention > 0 {
		// Records must outlive the keys in them.
		window = min(window, d.Retention*9/10-2*clockMargin)
	}
	s := &Service{deps: d, window: window, finishing: make(chan struct{}, maxFinishing)}
	life, end := context.WithCancel(context.Background())
	s.end = end
	for i := range s.homes {
		s.homes[i] = newHome(life, fmt.Sprintf("calls/%02d", i), d.Log, window, d.Invariants)
	}
	return s
}

// Run lets the entry settle calls until ctx ends; what is not stored by then is
// dropped.
func (s *Service) Run(ctx context.Context) {
	<-ctx.Done()
	s.end()
}

// Drain waits until the ends of all calls are stored, or ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for !s.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// idle says that nothing waits to be stored.
func (s *Service) idle() bool {
	if len(s.finishing) > 0 {
		return false
	}
	for _, h := range s.homes {
		if h.busy() {
			return false
		}
	}
	return true
}

// BeginArgs asks to begin a call.
type BeginArgs struct {
	Event Event
	Wait  time.Duration // the longest wait for the log
	// Request is the id of the request, for the log; empty unless the asker
	// logs requests.
	Request string
}

// BeginReply says what the begin led to.
type BeginReply struct {
	Verdict Verdict
	Answer  *Answer
}

// FinishArgs carries an End or a Void.
type FinishArgs struct{ Event Event }

// FinishReply says whether the event was taken on.
type FinishReply struct{ Taken bool }

// RPC is the service for peers.
type RPC struct{ s *Service }

// RPC returns the RPC service, to be registered as ServiceName.
func (s *Service) RPC() *RPC { return &RPC{s} }

// Begin settles the begin of a call as its stream's home.
func (r *RPC) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, beginTimeout))
	defer cancel()
	reply.Verdict, reply.Answer = r.s.home(args.Event.Key).begin(ctx, args.Event)
	if args.Request != "" {
		r.s.deps.Logger.Debug().Str("request", args.Request).Msg("begin of a call settled")
	}
	return nil
}

// Finish stores the end of a call as its stream's home.
func (r *RPC) Finish(args FinishArgs, reply *FinishReply) error {
	reply.Taken = r.s.home(args.Event.Key).finish(args.Event)
	return nil
}

func (s *Service) home(k Key) *home { return s.homes[int(k[0])%streams] }

// homeOf returns the entry that is home to the stream of k.
func (s *Service) homeOf(k Key) (infra.Instance, bool) {
	var live []infra.Instance
	for _, e := range s.deps.Members.Entries() {
		if e.State == infra.Live {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return infra.Instance{}, false
	}
	i := membership.Rank(s.home(k).stream, live)[0]
	return i, i.ID != s.deps.ID
}

// begin asks the home to begin a call; if it can't be reached this entry
// settles the begin itself. A begin that is refused but may be in the log, now
// or later, is made void.
func (s *Service) begin(ctx context.Context, e Event) (Verdict, *Answer) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	reply, reached := s.askHome(ctx, e)
	v, answer := reply.Verdict, reply.Answer
	if !reached {
		v, answer = s.home(e.Key).begin(ctx, e)
	}
	if v == Indeterminate || v == Refused && !reached {
		s.finish(e.as(Void))
	}
	return v, answer
}

// askHome asks another entry, if that is the home.
func (s *Service) askHome(ctx context.Context, e Event) (reply BeginReply, reached bool) {
	home, remote := s.homeOf(e.Key)
	if !remote {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout/2)
	defer cancel()
	args := BeginArgs{Event: e, Wait: beginTimeout / 3, Request: pipeline.RequestID(ctx)}
	err := s.deps.Peers.Call(ctx, home.RPCAddr, MethodBegin, args, &reply)
	return reply, err == nil
}

// finish stores the end of a call in the background. An end that can't be
// stored leaves the outcome unknown to resends.
func (s *Service) finish(e Event) {
	select {
	case s.finishing <- struct{}{}:
	default:
		s.deps.Logger.Warn().Msg("idempotency: too many ends to store")
		return
	}
	go func() {
		defer func() { <-s.finishing }()
		if !s.tellHome(e) && !s.home(e.Key).finish(e) {
			s.deps.Logger.Warn().Msg("idempotency: no room for the end of a call")
		}
	}()
}

// tellHome hands the end of a call to another entry, if that is the home.
func (s *Service) tellHome(e Event) bool {
	home, remote := s.homeOf(e.Key)
	if !remote {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), beginTimeout)
	defer cancel()
	var reply FinishReply
	err := s.deps.Peers.Call(ctx, home.RPCAddr, MethodFinish, FinishArgs{Event: e}, &reply)
	return err == nil && reply.Taken
}
