// Package gateway composes an entry whose surroundings provide configuration
// and endpoints and keep what must last: callers' requests pass through the
// filters of compose to endpoints, and batch jobs run beside them.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/batch"
	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
	"dandelionrelay/online"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
	"dandelionrelay/upstream"
)

// withdrawalMargin is how long before the bound of withdrawals keyed calls are
// refused: a call takes this long from the check to the endpoint at most.
const withdrawalMargin = 350 * time.Millisecond

// Feed is a followed partition.
type Feed interface {
	Run(ctx context.Context)
	// Age returns for how long its state has not been confirmed.
	Age() (time.Duration, bool)
	// LostFor returns for how long all reads have failed.
	LostFor() time.Duration
}

// Providers is what the surroundings of an entry offer.
type Providers struct {
	Config *config.Holder // kept by ConfigFeed
	// ConfigFeed calls Gateway.ConfigChanged before each new version is in
	// force.
	ConfigFeed Feed
	// EndpointFeed calls Gateway.SetEndpoints with each new list.
	EndpointFeed Feed
	Members      keyedlog.Partition // registrations of entries
	Suspects     keyedlog.Partition // requests that endpoints died of
	Levels       keyedlog.Partition // levels of customers' rates, for entries that start
	Jobs         keyedlog.Partition // index of batch jobs
	Contents     []batch.Store
	Dialect      upstream.Dialect
	IDHeader     string // in which endpoints repeat a request's id
}

// Deps is what a Gateway works with.
type Deps struct {
	Providers
	Settings    *settings.Gateway
	Incarnation uint64 // drawn at each start
	Clock       boottime.Clock
	Log         zerolog.Logger
	Registry    *prometheus.Registry
	Watcher     keyedlog.Watcher
}

// Gateway is one entry.
type Gateway struct {
	Deps
	onlineHandler     pipeline.Handler // serves a caller's request
	submissionHandler pipeline.Handler // lets a call that hands in a job pass
	batchHandler      pipeline.Handler // lets other calls on jobs pass
	jobs              *batch.Service
	table             *placement.Table
	pool              *upstream.Pool
	limits            *quota.Table
	suspects          *quarantine.Shared
	members           *gossip.Registry
	node              *gossip.Node
	followers         []*keyedlog.Follower
	membersFollower   *keyedlog.Follower // of the entries
	jobsFollower      *keyedlog.Follower
	started           time.Duration

	// Admissions, summed for entries of other cells and for those of this one.
	ownCellCounts, otherCellCounts *quota.Tally

	mu            sync.Mutex
	random        *rand.Rand
	leaving       bool
	endpoints     []placement.Endpoint // as discovery lists them
	endpointAddrs map[string]bool      // of these
}

// Pace of the followers: how long reads wait at the store, and the least time
// between two that found records.
const (
	membersReadWait     = 5 * time.Second
	membersMinInterval  = 1500 * time.Millisecond
	suspectsReadWait    = 5 * time.Second
	suspectsMinInterval = 500 * time.Millisecond
	jobsReadWait        = 1500 * time.Millisecond
	jobsMinInterval     = 250 * time.Millisecond
)

// New composes a Gateway. Nothing runs before Run.
func New(d Deps) *Gateway {
	seed := d.Incarnation
	g := &Gateway{
		Deps:          d,
		started:       d.Clock(),
		limits:        quota.NewTable(tolerance(d.Settings)),
		random:        rand.New(rand.NewPCG(seed, 1)),
		endpointAddrs: make(map[string]bool),

		ownCellCounts:   quota.NewTally(),
		otherCellCounts: quota.NewTally(),
	}
	g.table = placement.NewTable(d.Settings.ID, d.Settings.DataCentre, rand.New(rand.NewPCG(seed, 2)), g.announceChange)
	g.pool = upstream.NewPool(d.IDHeader, nil, g.dialCounter())
	g.members = gossip.NewRegistry(d.Clock, g.badRecordLogger("members"), g.announceChange)
	g.membersFollower = g.follow("members", d.Members, g.members, membersReadWait, membersMinInterval)
	g.node = gossip.NewNode(g.self(), g.members, g, g, d.Clock, d.Log)
	g.suspects = quarantine.NewShared(d.Suspects, d.Log, g.badRecordLogger("suspects"))
	g.follow("suspects", d.Suspects, g.suspects, suspectsReadWait, suspectsMinInterval)
	g.setUpBatch()
	g.buildPipelines()
	return g
}

func tolerance(s *settings.Gateway) quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(s.LimitWindow), Excess: s.LimitExcess, Slack: s.LimitSlack}
}

func (g *Gateway) follow(name string, p keyedlog.Reader, s keyedlog.State, wait, pace time.Duration) *keyedlog.Follower {
	f := keyedlog.NewFollower(p, s, keyedlog.Options{Name: name, MaxWait: wait, MinInterval: pace, Clock: g.Clock, Watcher: g.Watcher})
	g.followers = append(g.followers, f)
	return f
}

func (g *Gateway) self() gossip.Member {
	s := g.Settings
	return gossip.Member{Name: s.ID, Incarnation: g.Incarnation, Address: s.PeersAddr, DataCentre: s.DataCentre}
}

func (g *Gateway) setUpBatch() {
	ledger := batch.NewIndexState(g.badRecordLogger("jobs"), func() {
		if g.jobs != nil {
			g.jobs.Wake()
		}
	})
	g.jobsFollower = g.follow("jobs", g.Jobs, ledger, jobsReadWait, jobsMinInterval)
	g.jobs = batch.New(batch.Deps{
		Self:        batch.Owner{Entry: g.Settings.ID, Incarnation: g.Incarnation},
		Index:       batch.NewIndex(g.Jobs, g.jobsFollower, ledger),
		Stores:      g.Contents,
		CallBytes:   g.Settings.CallBytes,
		RecordBytes: g.Settings.RecordBytes,
		Retention:   time.Duration(g.Settings.KeepJobs),
		Config:      g.Config,
		Table:       g.table,
		Pool:        g.pool,
		Dialect:     g.Dialect,
		Peers:       g.node,
		Suspects:    g.suspects,
		Clock:       g.Clock,
		Log:         g.Log,
		Metrics:     batch.NewMetrics(g.Registry),
	})
}

// buildPipelines joins the filters: callers' requests pass through them from first
// to last.
func (g *Gateway) buildPipelines() {
	service := online.New(online.Deps{
		Table:       g.table,
		Pool:        g.pool,
		Dialect:     g.Dialect,
		Clock:       g.Clock,
		Log:         g.Log,
		Metrics:     online.NewMetrics(g.Registry),
		Suspects:    g.suspects,
		ConfigFresh: g.keyConfirmed,
		ConfigAge: func() time.Duration {
			age, _ := g.ConfigFeed.Age()
			return age
		},
	})
	last := func(ctx context.Context, c *pipeline.Call) *api.Error {
		c.Admitted = true
		return service.Handle(ctx, c)
	}
	g.onlineHandler = pipeline.Chain(last, g.requireConfig, g.resolveRoute, g.authenticate, g.requireConfirmedKey, quarantine.Filter(g.suspects), g.limitRate)
	passed := func(context.Context, *pipeline.Call) *api.Error { return nil }
	g.submissionHandler = pipeline.Chain(passed, g.requireConfig, g.resolveRoute, g.authenticate, g.requireConfirmedKey)
	g.batchHandler = pipeline.Chain(passed, g.requireConfig, g.authenticate)
}

// Serve answers a call on a route of online requests. Like the methods below it
// needs the call's Snapshot.
func (g *Gateway) Serve(ctx context.Context, c *pipeline.Call) *api.Error {
	err := g.onlineHandler(ctx, c)
	if err != nil && !c.Admitted {
		g.logRefusal(c, err)
	}
	return err
}

// IsJobSubmission reports whether a call hands in a batch job.
func (g *Gateway) IsJobSubmission(c *pipeline.Call) bool {
	return findRoute(c) && c.Route.Provided.Batch != nil
}

// Authenticate finds the customer of a call to the batch interface.
func (g *Gateway) Authenticate(ctx context.Context, c *pipeline.Call) *api.Error {
	return g.batchHandler(ctx, c)
}

// RouteAndAuthenticate finds the route of a call, and its customer.
func (g *Gateway) RouteAndAuthenticate(ctx context.Context, c *pipeline.Call) *api.Error {
	return g.submissionHandler(ctx, c)
}

// logRefusal logs a call that a filter before the last step has logRefusal.
func (g *Gateway) logRefusal(c *pipeline.Call, err *api.Error) {
	age, _ := g.ConfigFeed.Age()
	g.Log.Info().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).
		Str("outcome", string(err.Code)).Str("reason", err.Message).Int("refused_with", err.Status).Dur("retry_after_ms", err.RetryAfter).
		Uint64("config", c.Snapshot.Version).Dur("config_age_ms", age).Msg("request refused")
}

// BatchJobs returns the batch jobs.
func (g *Gateway) BatchJobs() *batch.Service { return g.jobs }

// Ready reports whether callers are welcome.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving || g.Config.Current().Version == 0 {
		return false
	}
	if _, loaded := g.membersFollower.NextOffset(); !loaded {
		return false
	}
	if _, loaded := g.jobsFollower.NextOffset(); !loaded {
		return false
	}
	return g.configRecent()
}

// readyAgeShare is the part of the bound of withdrawals after which an entry
// that can't confirm its configuration sends callers elsewhere.
const readyAgeShare = 0.6

// configRecent reports whether keyed calls will be served for a while.
func (g *Gateway) configRecent() bool {
	bound := time.Duration(g.Settings.Withdrawal)
	if bound == 0 {
		return true
	}
	return g.configConfirmedWithin(time.Duration(readyAgeShare * float64(bound)))
}

// configConfirmedWithin reports whether the configuration was confirmed less than d
// ago.
func (g *Gateway) configConfirmedWithin(d time.Duration) bool {
	age, ok := g.ConfigFeed.Age()
	return ok && age < d
}

// Leave has callers and duties go elsewhere.
func (g *Gateway) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.jobs.Drain()
	g.node.NotifyChange()
}

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// ConfigChanged takes a configuration that has come into force.
func (g *Gateway) ConfigChanged(s *config.Snapshot) {
	limits := make(map[string]quota.Limit, len(s.State.Customers))
	for id, c := range s.State.Customers {
		limits[id] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
	}
	g.limits.SetLimits(g.Clock(), limits)
	g.jobs.Wake()
}

// SetEndpoints takes a new list of endpoints.
func (g *Gateway) SetEndpoints(list []placement.Endpoint) {
	addrs := make(map[string]bool, len(list))
	for _, e := range list {
		addrs[e.Address] = true
	}
	g.mu.Lock()
	g.endpoints = list
	g.endpointAddrs = addrs
	g.mu.Unlock()
	g.assignEndpoints()
}

func (g *Gateway) randomN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

// announceChange is called with each change of this entry's load, and when it has
// read who the other entries are: both are news for them.
func (g *Gateway) announceChange() {
	if g.node != nil {
		g.node.NotifyChange()
	}
}

// ShareUpdate implements gossip.Listener.
func (g *Gateway) ShareUpdate(s gossip.Share) {
	g.limits.SetShare(quota.Share{Observed: s.Fraction, Own: s.SoloFraction, Until: s.ValidUntil})
}

func (g *Gateway) badRecordLogger(partition string) func(key string, err error) {
	return func(key string, err error) {
		g.Log.Warn().Err(err).Str("partition", partition).Str("key", key).Msg("record can't be read, passed over")
	}
}

func (g *Gateway) dialCounter() func() {
	dials := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "relay_endpoint_connections_total",
		Help: "Connections opened to endpoints.",
	})
	g.Registry.MustRegister(dials)
	return dials.Inc
}

// pruneInterval is the interval at which idle connections are looked through.
const pruneInterval = 2 * time.Second

// Run does the background work until ctx ends. socket is for datagrams between
// entries.
func (g *Gateway) Run(ctx context.Context, socket *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { g.ConfigFeed.Run(ctx) })
	wg.Go(func() { g.EndpointFeed.Run(ctx) })
	for _, f := range g.followers {
		wg.Go(func() { f.Run(ctx) })
	}
	wg.Go(func() { g.registerPeriodically(ctx) })
	wg.Go(func() { g.syncLevels(ctx) })
	wg.Go(func() { g.suspects.Run(ctx) })
	wg.Go(func() { g.node.Run(ctx, socket) })
	wg.Go(func() { g.jobs.Run(ctx) })
	wg.Go(func() { g.pruneConnections(ctx) })
	wg.Wait()
}

// registerPeriodically tells the other entries of this one, again and again.
func (g *Gateway) registerPeriodically(ctx context.Context) {
	tick := time.NewTicker(gossip.RegistrationInterval)
	defer tick.Stop()
	for {
		if err := g.registerOnce(ctx); err != nil && ctx.Err() == nil {
			g.Log.Debug().Err(err).Msg("not registered")
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *Gateway) registerOnce(ctx context.Context) error {
	record, err := gossip.EncodeMember(g.self())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	_, err = g.Members.Append(ctx, keyedlog.AnyOffset, []keyedlog.Record{record})
	return err
}

// pruneConnections closes connections that are not needed any more.
func (g *Gateway) pruneConnections(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		addrs := g.endpointAddrs
		g.mu.Unlock()
		g.pool.Prune(func(addr string) bool { return addrs[addr] })
	}
}
