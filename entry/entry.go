// Package entry assembles an entry: the pipeline for callers' requests, the batch
// interface, and the RPC services for peers. compose builds the filter chains.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
	"dandelionrelay/route"
	"dandelionrelay/settings"
)

// chunkAppendBucket names the fleet-wide rate limit of chunk appends. It can't
// collide with a customer's ID, which has no slash.
const chunkAppendBucket = "jobs/accept"

// Deps holds the dependencies of an Entry.
type Deps struct {
	Log        infra.Log
	Instances  infra.Instances
	Dial       peer.Dialer // to peers and sidecars; nil means TCP
	Logger     zerolog.Logger
	Registry   *prometheus.Registry
	Invariants *invariant.Set
}

// Entry is an entry process. It serves once Serve is called.
type Entry struct {
	settings      *settings.Entry // at the start
	live          atomic.Pointer[settings.Entry]
	deps          Deps
	config        config.Holder
	locality      localityPolicy
	evacuations   evacuationLog
	follower      *config.Follower
	view          *membership.View
	activeCalls   *authn.ActiveCalls
	limits        *limit.Service
	jobs          *jobs.Service
	quarantine    *quarantine.Node
	idempotency   *idempotency.Service
	dispatch      *dispatch.Dispatcher
	pool          *peer.Pool
	peers         *peer.Server
	readiness     ops.Readiness
	admission     pipeline.Admission
	callerHandler http.Handler
	opsHandler    http.Handler
	killed        chan struct{}
	killOnce      sync.Once
}

// New assembles an entry. It starts no goroutines; Run does.
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
	e.live.Store(s)
	traffic := peer.NewMetrics(d.Registry)
	e.pool.SetMetrics(traffic)
	e.peers.SetMetrics(traffic)
	e.activeCalls = authn.NewActiveCalls(d.Invariants)
	e.view = membership.NewView(d.Instances)
	e.follower = config.NewFollower(d.Log, &e.config, d.Invariants, e.configChanged)
	e.follower.Join(config.Fleet{
		Self:      e.self(),
		Members:   e.view,
		Peers:     e.pool,
		Retention: time.Duration(s.LogRetention),
	})
	e.peers.Register(config.ServiceName, config.NewService(e.follower))
	e.follower.RegisterMetrics(d.Registry)
	d.Registry.MustRegister(newLimitsCollector(&e.config), newEvacuationsGauge(&e.config))
	e.limits = limit.NewService(limit.Options{
		Self:       e.self(),
		Log:        d.Log,
		Instances:  d.Instances,
		Config:     &e.config,
		Pool:       e.pool,
		Buckets:    map[string]limit.Limits{chunkAppendBucket: {Rate: jobs.ChunkAppendsPerSecond, Burst: jobs.ChunkAppendBurst}},
		Invariants: d.Invariants,
		Metrics:    d.Registry,
		Logger:     d.Logger,
	})
	e.quarantine = quarantine.NewNode(quarantine.Deps{
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
		Config:      &e.config,
		Invariants:  d.Invariants,
		Suspects:    e.quarantine,
		Retention:   time.Duration(s.LogRetention),
		OnBadRecord: e.logUnreadableRecord,
		Metrics:     d.Registry,
		Logger:      d.Logger,

		ChunkAppendBudget: e.limits.Bucket(chunkAppendBucket),
		CheckLocality:     e.checkItem,
	})
	e.peers.Register(quarantine.ServiceName, e.quarantine.RPC())
	e.idempotency = idempotency.NewService(idempotency.Deps{
		ID:         s.ID,
		Log:        d.Log,
		Retention:  time.Duration(s.LogRetention),
		Members:    e.view,
		Peers:      e.pool,
		Invariants: d.Invariants,
		Logger:     d.Logger,
	})
	e.peers.Register(idempotency.ServiceName, e.idempotency.RPC())
	e.peers.Register(membership.ServiceName, membership.NewService(e.view))
	e.peers.Register("Limit", e.limits.RPC())
	e.jobs.Register(e.peers)
	e.compose()
	return e
}

// ApplySettings puts changed settings into force. Fields that can't change in a running
// process must have the values that New got.
func (e *Entry) ApplySettings(s *settings.Entry) { e.live.Store(s) }

// self returns this entry as it appears in the platform's instance list.
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

// compose builds the HTTP handlers for callers and operators. The filters of each
// chain run in the order in which they are listed.
func (e *Entry) compose() {
	invariants := e.deps.Invariants
	e.dispatch = dispatch.New(dispatch.Deps{
		Members:       e.view,
		Suspects:      e.quarantine,
		Transport:     e.transport(),
		Invariants:    invariants,
		Metrics:       e.deps.Registry,
		Logger:        e.deps.Logger,
		ID:            e.settings.ID,
		DataCentre:    e.settings.DataCentre,
		RecordLeaving: e.view.RecordLeaving,
		CheckLocality: e.checkCall,
	})
	authorizer := &authn.Authorizer{
		Source:       &e.config,
		ActiveCalls:  e.activeCalls,
		Invariants:   invariants,
		MaxStaleness: func() time.Duration { return time.Duration(e.live.Load().MaxStaleness) },
		Staleness:    e.follower.Staleness,
	}
	online := pipeline.Chain(e.dispatch.Handle,
		e.admission.Filter,
		authn.Identify(&e.config),
		route.Filter(),
		authorizer.Authorize(),
		quarantine.Filter(e.quarantine),
		limit.Filter(e.limits),
		e.idempotency.Filter,
	)
	batch := pipeline.Chain(serveJobs(jobs.NewHandler(e.jobs)),
		authn.Identify(&e.config),
		authorizer.Authorize(),
		onlyPOST(limit.Filter(e.limits)),
	)
	metrics := front.NewMetrics(e.deps.Registry)
	logger := e.deps.Logger
	mux := http.NewServeMux()
	mux.Handle("/", front.New(online, &e.config, func() int64 { return e.live.Load().MaxBodyBytes }, logger, metrics))
	// Files may be large, so the batch interface streams request bodies.
	batchHandler := front.New(batch, &e.config, nil, logger, metrics)
	for _, path := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
		mux.Handle(path, batchHandler)
	}
	e.callerHandler = mux
	operations := ops.Handler(e.deps.Registry, &e.readiness)
	operations.Handle("/admin/", admin.NewHandler(admin.Options{
		Self:       e.self(),
		Follower:   e.follower,
		Source:     &e.config,
		Members:    e.view,
		Jobs:       e.jobs,
		Quarantine: e.quarantine,
		Operators:  func() []settings.Operator { return e.live.Load().Operators },
		Regions:    func() locality.Regions { return e.live.Load().Regions },
		Logger:     logger,
	}))
	e.opsHandler = operations
}

// dialContext adapts a Dialer to http.Transport.DialContext.
func dialContext(dial peer.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
}

// transport returns the transport to sidecars.
func (e *Entry) transport() http.RoundTripper {
	t := dispatch.NewTransport()
	t.DialContext = dialContext(e.deps.Dial)
	return t
}

// configChanged is called with each new configuration that takes effect at this
// entry.
func (e *Entry) configChanged(s *config.Snapshot) {
	e.activeCalls.CancelInvalid(s, time.Now())
	e.evacuations.log(e.deps.Logger, s.State.Evacuations)
	e.deps.Logger.Info().Uint64("version", s.Version).Str("request", s.ChangeID).Msg("configuration in force")
}

// readinessPollInterval is the time between two checks of the conditions of
// readiness.
const readinessPollInterval = 100 * time.Millisecond

// awaitReady marks the entry as ready once it can admit requests, that is once it
// has a configuration and knows which entries count its customers' limits.
func (e *Entry) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for e.config.Current().Version == 0 || !e.limits.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	e.readiness.MarkReady()
}

// logUnreadableRecord logs a record of a job stream that can't be decoded.
func (e *Entry) logUnreadableRecord(stream string, offset infra.Offset, err error) {
	e.deps.Logger.Error().Err(err).Str("stream", stream).Uint64("offset", uint64(offset)).Msg("record of a job stream can't be decoded")
}

// Run runs the background tasks until ctx ends, and then closes the connections
// to and from peers.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.awaitReady(ctx) })
	wg.Go(func() { e.follower.Run(ctx) })
	wg.Go(func() { e.view.Run(ctx) })
	wg.Go(func() { e.activeCalls.Run(ctx) })
	wg.Go(func() { e.limits.Run(ctx) })
	wg.Go(func() { e.jobs.Run(ctx) })
	wg.Go(func() { e.quarantine.Run(ctx) })
	wg.Go(func() { e.idempotency.Run(ctx) })
	wg.Go(func() { e.dispatch.Run(ctx) })
	wg.Wait()
	e.pool.Close()
	e.peers.Close()
}
