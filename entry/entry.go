// Package entry composes an entry: the pipeline that callers' requests pass
// through, the batch interface, and the services for peers. Read compose
// first: it joins the filters in one place.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/admin"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/dispatch"
	"dandelionrelay/front"
	"dandelionrelay/idempotency"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/jobs"
	"dandelionrelay/limit"
	"dandelionrelay/membership"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
	"dandelionrelay/route"
	"dandelionrelay/settings"
)

// acceptBucket names the fleet's budget of chunk appends; no id of a customer
// has a slash.
const acceptBucket = "jobs/accept"

// Deps is what an Entry works with.
type Deps struct {
	Log        infra.Log
	Instances  infra.Instances
	Dial       peer.Dialer // to peers and sidecars; nil means TCP
	Logger     zerolog.Logger
	Registry   *prometheus.Registry
	Invariants *invariant.Set
}

// Entry is one entry, not yet listening.
type Entry struct {
	settings *settings.Entry
	deps     Deps
	holder   config.Holder
	follower *config.Follower
	view     *membership.View
	sessions *authn.ActiveCalls
	limits   *limit.Service
	jobs     *jobs.Service
	suspects *quarantine.Node
	calls    *idempotency.Service
	dispatch *dispatch.Dispatcher
	pool     *peer.Pool
	peers    *peer.Server
	ready    ops.Readiness
	callers  http.Handler
	ops      http.Handler
	killed   chan struct{}
	killOnce sync.Once
}

// New composes an entry. Nothing runs before Run.
func New(s *settings.Entry, d Deps) *Entry {
	if d.Dial == nil {
		d.Dial = peer.DialTCP
	}
	e := &Entry{
		settings: s,
		deps:     d,
		peers:    peer.NewServer(),
		pool:     peer.NewPool(d.Dial),
		killed:   make(chan struct{}),
	}
	traffic := peer.NewMetrics(d.Registry)
	e.pool.SetMetrics(traffic)
	e.peers.SetMetrics(traffic)
	e.sessions = authn.NewActiveCalls(d.Invariants)
	e.view = membership.NewView(d.Instances)
	e.follower = config.NewFollower(d.Log, &e.holder, d.Invariants, e.configChanged)
	e.follower.Join(config.Fleet{
		Self:      e.self(),
		Members:   e.view,
		Peers:     e.pool,
		Retention: time.Duration(s.LogRetention),
	})
	e.peers.Register(config.ServiceName, config.NewService(e.follower))
	e.follower.RegisterMetrics(d.Registry)
	d.Registry.MustRegister(newLimitsCollector(&e.holder))
	e.limits = limit.NewService(limit.Options{
		Self:       e.self(),
		Log:        d.Log,
		Instances:  d.Instances,
		Config:     &e.holder,
		Pool:       e.pool,
		Buckets:    map[string]limit.Limits{acceptBucket: {Rate: jobs.ChunkAppendsPerSecond, Burst: jobs.ChunkAppendBurst}},
		Invariants: d.Invariants,
		Metrics:    d.Registry,
		Logger:     d.Logger,
	})
	e.suspects = quarantine.NewNode(quarantine.Deps{
		ID:         s.ID,
		DataCentre: s.DataCentre,
		Log:        d.Log,
		Members:    e.view,
		Peers:      e.pool,
		Logger:     d.Logger,
	})
	e.jobs = jobs.NewService(jobs.Options{
		Self:        s.ID,
		Log:         d.Log,
		Members:     e.view,
		Pool:        e.pool,
		Config:      &e.holder,
		Invariants:  d.Invariants,
		Suspects:    e.suspects,
		Retention:   time.Duration(s.LogRetention),
		OnBadRecord: e.badRecord,
		Metrics:     d.Registry,
		Logger:      d.Logger,

		ChunkAppendBudget: e.limits.Bucket(acceptBucket),
	})
	e.peers.Register(quarantine.ServiceName, e.suspects.Service())
	e.calls = idempotency.NewService(idempotency.Deps{
		ID:         s.ID,
		Log:        d.Log,
		Retention:  time.Duration(s.LogRetention),
		Members:    e.view,
		Peers:      e.pool,
		Invariants: d.Invariants,
		Logger:     d.Logger,
	})
	e.peers.Register(idempotency.ServiceName, e.calls.RPC())
	e.peers.Register(membership.ServiceName, membership.NewService(e.view))
	e.peers.Register("Limit", e.limits.RPC())
	e.jobs.Register(e.peers)
	e.compose()
	return e
}

// self is this entry as the platform lists it.
func (e *Entry) self() infra.Instance {
	return infra.Instance{
		ID:         e.settings.ID,
		Role:       infra.RoleEntry,
		DataCentre: e.settings.DataCentre,
		State:      infra.Live,
		HTTPAddr:   e.settings.HTTPAddr,
		RPCAddr:    e.settings.RPCAddr,
	}
}

// compose joins the filters: callers' requests pass through them from first
// to last.
func (e *Entry) compose() {
	checks := e.deps.Invariants
	e.dispatch = dispatch.New(dispatch.Deps{
		Members:       e.view,
		Suspects:      e.suspects,
		Transport:     e.transport(),
		Invariants:    checks,
		Metrics:       e.deps.Registry,
		Logger:        e.deps.Logger,
		ID:            e.settings.ID,
		DataCentre:    e.settings.DataCentre,
		RecordLeaving: e.view.RecordLeaving,
	})
	guard := &authn.Authorizer{
		Source:       &e.holder,
		ActiveCalls:  e.sessions,
		Invariants:   checks,
		MaxStaleness: time.Duration(e.settings.MaxStaleness),
		Staleness:    e.follower.Staleness,
	}
	online := pipeline.Chain(e.dispatch.Handle,
		authn.Identify(&e.holder),
		route.Filter(),
		guard.Authorize(),
		quarantine.Filter(e.suspects),
		limit.Filter(e.limits),
		e.calls.Filter,
	)
	batch := pipeline.Chain(serveJobs(jobs.NewHandler(e.jobs)),
		authn.Identify(&e.holder),
		guard.Authorize(),
		onSubmit(limit.Filter(e.limits)),
	)
	metrics := front.NewMetrics(e.deps.Registry)
	logger := e.deps.Logger
	mux := http.NewServeMux()
	mux.Handle("/", front.New(online, &e.holder, e.settings.MaxBodyBytes, logger, metrics))
	// Files may be large: the batch interface reads them piece by piece.
	streamed := front.New(batch, &e.holder, 0, logger, metrics)
	for _, path := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
		mux.Handle(path, streamed)
	}
	e.callers = mux
	operations := ops.Handler(e.deps.Registry, &e.ready)
	operations.Handle("/admin/", admin.NewHandler(admin.Options{
		Self:       e.self(),
		Follower:   e.follower,
		Source:     &e.holder,
		Members:    e.view,
		Jobs:       e.jobs,
		Quarantine: e.suspects,
		Operators:  e.settings.Operators,
		Logger:     logger,
	}))
	e.ops = operations
}

// dialer makes a Dialer fit http.Transport.
func dialer(dial peer.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
}

// transport returns the transport to sidecars.
func (e *Entry) transport() http.RoundTripper {
	t := dispatch.NewTransport()
	t.DialContext = dialer(e.deps.Dial)
	return t
}

// configChanged is called with each new version in force here.
func (e *Entry) configChanged(s *config.Snapshot) {
	e.sessions.CancelInvalid(s, time.Now())
	e.deps.Logger.Info().Uint64("version", s.Version).Str("request", s.ChangeID).Msg("configuration in force")
}

// readyInterval is the time between two looks at what is missing to be ready.
const readyInterval = 100 * time.Millisecond

// awaitReady makes the entry ready once it can admit requests: it has a
// configuration and knows who counts its customers' limits.
func (e *Entry) awaitReady(ctx context.Context) {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for e.holder.Current().Version == 0 || !e.limits.Ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	e.ready.MarkReady()
}

// badRecord reports a record of a job stream that can't be read.
func (e *Entry) badRecord(stream string, offset infra.Offset, err error) {
	e.deps.Logger.Error().Err(err).Str("stream", stream).Uint64("offset", uint64(offset)).Msg("bad record")
}

// Run does the background work until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.awaitReady(ctx) })
	wg.Go(func() { e.follower.Run(ctx) })
	wg.Go(func() { e.view.Run(ctx) })
	wg.Go(func() { e.sessions.Run(ctx) })
	wg.Go(func() { e.limits.Run(ctx) })
	wg.Go(func() { e.jobs.Run(ctx) })
	wg.Go(func() { e.suspects.Run(ctx) })
	wg.Go(func() { e.calls.Run(ctx) })
	wg.Go(func() { e.dispatch.Run(ctx) })
	wg.Wait()
	e.pool.Close()
	e.peers.Close()
}
