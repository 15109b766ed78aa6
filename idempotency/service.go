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
	// streamCount is the number of streams over which the keys are partitioned.
	streamCount = 16
	// clockMargin is the assumed maximum difference between the clocks of
	// instances, callers and the log.
	clockMargin = time.Minute
	// beginTimeout bounds the wait until the offset of a begin is known, and
	// the RPC that sends the end of a call to its coordinator.
	beginTimeout = 3 * time.Second
	// maxPendingFinishes is the maximum number of ends of calls that no
	// coordinator has queued yet.
	maxPendingFinishes = 1024
	// drainPollInterval is the interval at which Drain checks for pending events.
	drainPollInterval = 50 * time.Millisecond
)

// Names of the RPC service and of its methods.
const (
	ServiceName  = "Calls"
	MethodBegin  = "Calls.Begin"
	MethodFinish = "Calls.Finish"
)

// Caller calls RPC methods of peers. peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Deps are the dependencies of a Service.
type Deps struct {
	ID         string // instance ID of this entry
	Log        infra.Log
	Retention  time.Duration // of the log; 0: unlimited
	Members    membership.Members
	Peers      Caller
	Invariants *invariant.Set
	Logger     zerolog.Logger
}

// Service decides which of the requests with the same key runs the call. Each
// entry has one. It is safe for concurrent use.
type Service struct {
	deps         Deps
	window       time.Duration
	coordinators [streamCount]*coordinator
	stop         context.CancelFunc // stops the coordinators
	finishSlots  chan struct{}      // one value for each end that no coordinator has queued yet
}

// NewService returns a Service, which runs until the context of Run is cancelled.
func NewService(d Deps) *Service {
	window := DedupWindow
	if d.Retention > 0 {
		// Records must be retained for longer than their keys are remembered.
		window = min(window, d.Retention*9/10-2*clockMargin)
	}
	s := &Service{deps: d, window: window, finishSlots: make(chan struct{}, maxPendingFinishes)}
	lifetime, stop := context.WithCancel(context.Background())
	s.stop = stop
	for i := range s.coordinators {
		s.coordinators[i] = newCoordinator(lifetime, fmt.Sprintf("calls/%02d", i), d.Log, window, d.Invariants)
	}
	return s
}

// Run waits until ctx is cancelled and stops the coordinators. Events that are not
// stored by then are dropped.
func (s *Service) Run(ctx context.Context) {
	<-ctx.Done()
	s.stop()
}

// Drain waits until the ends of all calls are stored. It returns the error of ctx
// if ctx is cancelled before.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
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

// idle reports whether no event waits to be stored.
func (s *Service) idle() bool {
	if len(s.finishSlots) > 0 {
		return false
	}
	for _, c := range s.coordinators {
		if c.hasPending() {
			return false
		}
	}
	return true
}

// BeginArgs are the arguments of Calls.Begin.
type BeginArgs struct {
	Event Event
	Wait  time.Duration // maximum wait for the log
	// Request is the ID of the request, for log messages; empty unless the
	// calling entry logs requests.
	Request string
}

// BeginReply is the reply of Calls.Begin. Answer is set if Verdict is Answered.
type BeginReply struct {
	Verdict Verdict
	Answer  *Answer
}

// FinishArgs are the arguments of Calls.Finish. Event is an End or a Void.
type FinishArgs struct{ Event Event }

// FinishReply reports whether the event was queued.
type FinishReply struct{ Taken bool }

// RPC is the RPC service for peers.
type RPC struct{ service *Service }

// RPC returns the RPC service, to be registered as ServiceName.
func (s *Service) RPC() *RPC { return &RPC{s} }

// Begin begins a call as the coordinator of its stream.
func (r *RPC) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, beginTimeout))
	defer cancel()
	reply.Verdict, reply.Answer = r.service.coordinator(args.Event.Key).begin(ctx, args.Event)
	if args.Request != "" {
		r.service.deps.Logger.Debug().Str("request", args.Request).Msg("begin of a call settled")
	}
	return nil
}

// Finish queues the end of a call as the coordinator of its stream.
func (r *RPC) Finish(args FinishArgs, reply *FinishReply) error {
	reply.Taken = r.service.coordinator(args.Event.Key).finish(args.Event)
	return nil
}

// coordinator returns this entry's coordinator of the stream of k.
func (s *Service) coordinator(k Key) *coordinator { return s.coordinators[int(k[0])%streamCount] }

// coordinatorEntry returns the live entry that coordinates the stream of k, and
// whether that is another entry. It returns false if no live entry is known.
func (s *Service) coordinatorEntry(k Key) (infra.Instance, bool) {
	var live []infra.Instance
	for _, e := range s.deps.Members.Entries() {
		if e.State == infra.Live {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return infra.Instance{}, false
	}
	i := membership.Rank(s.coordinator(k).stream, live)[0]
	return i, i.ID != s.deps.ID
}

// begin begins a call at the coordinator of its stream. If that can't be reached,
// this entry acts as the coordinator. A begin that failed but may be in the log,
// now or later, is voided.
func (s *Service) begin(ctx context.Context, e Event) (Verdict, *Answer) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	reply, reached := s.beginRemote(ctx, e)
	v, response := reply.Verdict, reply.Answer
	if !reached {
		v, response = s.coordinator(e.Key).begin(ctx, e)
	}
	if v == Indeterminate || v == Refused && !reached {
		s.finish(e.withKind(Void))
	}
	return v, response
}

// beginRemote begins a call at the coordinating entry if that is another one. It
// reports whether that entry replied.
func (s *Service) beginRemote(ctx context.Context, e Event) (reply BeginReply, reached bool) {
	entry, remote := s.coordinatorEntry(e.Key)
	if !remote {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout/2)
	defer cancel()
	args := BeginArgs{Event: e, Wait: beginTimeout / 3, Request: pipeline.RequestID(ctx)}
	err := s.deps.Peers.Call(ctx, entry.RPCAddr, MethodBegin, args, &reply)
	return reply, err == nil
}

// finish stores the end of a call asynchronously. If an end can't be stored,
// resends get the verdict OutcomeUnknown once Event.Until, clockMargin after the
// deadline, has passed.
func (s *Service) finish(e Event) {
	select {
	case s.finishSlots <- struct{}{}:
	default:
		s.deps.Logger.Warn().Msgf("idempotency: dropped the end of a call: %d ends are waiting to be stored", maxPendingFinishes)
		return
	}
	go func() {
		defer func() { <-s.finishSlots }()
		if !s.finishRemote(e) && !s.coordinator(e.Key).finish(e) {
			s.deps.Logger.Warn().Msgf("idempotency: dropped the end of a call: the queue of its stream holds %d events", maxQueued)
		}
	}()
}

// finishRemote sends the end of a call to the coordinating entry if that is
// another one. It reports whether that entry has queued it.
func (s *Service) finishRemote(e Event) bool {
	entry, remote := s.coordinatorEntry(e.Key)
	if !remote {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), beginTimeout)
	defer cancel()
	var reply FinishReply
	err := s.deps.Peers.Call(ctx, entry.RPCAddr, MethodFinish, FinishArgs{Event: e}, &reply)
	return err == nil && reply.Taken
}
