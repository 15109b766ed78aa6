// Package gateway implements an entry that gets its configuration and endpoints from
// an external platform and stores its durable state there. Callers' requests pass
// through a chain of filters to endpoints, and batch jobs run concurrently.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/batch"
	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
	"dandelionrelay/origin"
	"dandelionrelay/peer"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
	"dandelionrelay/upstream"
)

// withdrawalMargin is subtracted from the withdrawal bound, the time after the withdrawal
// of a key from which no request with it may be sent to an endpoint. A call takes at most
// this long from the check of the key to the endpoint.
const withdrawalMargin = 350 * time.Millisecond

// Feed follows a partition.
type Feed interface {
	// Run follows the partition until ctx is done.
	Run(ctx context.Context)
	// Age returns the time since the state was last confirmed. It returns false
	// if it never was.
	Age() (time.Duration, bool)
	// LostFor returns the time since the first failed read after the last one that
	// confirmed the state; 0 if none has failed since.
	LostFor() time.Duration
	// NextOffset returns the offset after the newest applied record. It returns false
	// before the first one.
	NextOffset() (int64, bool)
	// Refresh reads the partition without waiting for new records.
	Refresh(ctx context.Context) error
}

// Providers holds what the platform provides to an entry.
type Providers struct {
	Config *config.Holder // updated by ConfigFeed
	// ConfigFeed calls Gateway.ConfigChanged before it stores a new version in
	// Config.
	ConfigFeed ConfigFeed
	// ConfigRecords returns the newest record of each key of the configuration's partition
	// that was applied, for entries that can't read it from the store.
	ConfigRecords func() []keyedlog.Record
	// EndpointFeed calls Gateway.SetEndpoints with each new list of endpoints.
	EndpointFeed Feed
	// EndpointsSince returns the endpoints that registered at offset from of EndpointFeed
	// or after it. It fails if the records are no longer retained or too many.
	EndpointsSince func(ctx context.Context, from int64) ([]placement.Endpoint, error)
	Members        keyedlog.Partition // registrations of entries
	Suspects       keyedlog.Partition // requests during which endpoints crashed
	Levels         keyedlog.Partition // token-bucket levels of customers, read by entries at startup
	Jobs           keyedlog.Partition // index of batch jobs
	Contents       []batch.Store
	Dialect        upstream.Dialect
	IDHeader       string // header in which endpoints echo the ID of a request
}

// Deps holds the dependencies of a Gateway.
type Deps struct {
	Providers
	Settings    *settings.Gateway // at the start; see Gateway.ApplySettings
	Incarnation uint64            // random, new at each start
	Clock       boottime.Clock
	Log         zerolog.Logger
	Registry    *prometheus.Registry
	Watcher     keyedlog.Watcher
}

// Gateway is one entry.
type Gateway struct {
	Deps
	onlineHandler     pipeline.Handler // serves online requests
	submissionHandler pipeline.Handler // checks calls that submit a batch job
	batchHandler      pipeline.Handler // checks the other calls to the batch interface
	jobs              *batch.Service
	table             *placement.Table
	pool              *upstream.Pool
	limits            *quota.Table
	coldLimits        *quota.Table // requests to cold endpoints
	coldInUse         atomic.Bool  // a deployment has, or had, a cold rate
	suspects          *quarantine.SharedTable
	silences          *quarantine.Silences
	members           *gossip.Registry
	node              *gossip.Node
	followers         []*keyedlog.Follower
	membersFollower   *keyedlog.Follower
	jobsFollower      *keyedlog.Follower
	started           time.Duration // clock at the start
	settings          atomic.Pointer[settings.Gateway]
	peers             *peer.Server
	peerPool          *peer.Pool
	storeReads        storeReads
	origins           *origin.Table
	listed            *origin.History
	confirming        chan struct{} // holds one value while confirmEndpoints reads
	resumed           *prometheus.CounterVec
	rateRefusals      *prometheus.CounterVec
	originsInherited  atomic.Bool // the history of versions that others have stored was inherited, or can't be
	fetcher           configFetcher
	confirmers        confirmers
	admission         pipeline.Admission

	// Admissions reported by the other entries of this cell, and by other cells. A
	// relay forwards the sums: those of its cell to other cells, and those of other
	// cells to its cell.
	ownCellCounts, otherCellCounts *quota.Tally

	mu            sync.Mutex
	random        *rand.Rand
	leaving       bool
	endpoints     []placement.Endpoint // as listed by discovery
	endpointAddrs map[string]bool      // addresses of endpoints

	cold           coldState
	leavingEntries sync.Map // names of entries that are shutting down

	localityMetrics localityMetrics
	locality        localityState
}

// Timing of the followers: the maximum time that a read waits at the store for new
// records (ReadWait), and the minimum interval between two reads that returned records
// (MinInterval).
const (
	membersReadWait     = 5 * time.Second
	membersMinInterval  = 1500 * time.Millisecond
	suspectsReadWait    = 5 * time.Second
	suspectsMinInterval = 500 * time.Millisecond
	jobsReadWait        = 1500 * time.Millisecond
	jobsMinInterval     = 250 * time.Millisecond
)

// New returns a Gateway. It starts nothing; see Run.
func New(d Deps) *Gateway {
	seed := d.Incarnation
	g := &Gateway{
		Deps:          d,
		started:       d.Clock(),
		limits:        quota.NewTable(tolerance(d.Settings)),
		coldLimits:    quota.NewTable(quota.Tolerance{}),
		random:        rand.New(rand.NewPCG(seed, 1)),
		endpointAddrs: make(map[string]bool),
		origins:       origin.NewTable(d.Clock),
		listed:        origin.NewHistory(d.Clock),
		confirming:    make(chan struct{}, 1),
		resumed:       newResumedCounter(d.Registry),
		rateRefusals:  newRateRefusals(d.Registry),

		localityMetrics: newLocalityMetrics(d.Registry),

		ownCellCounts:   quota.NewTally(),
		otherCellCounts: quota.NewTally(),
	}
	g.settings.Store(d.Settings)
	g.peers = peer.NewServer()
	g.peers.Register(configService, &configRPC{g})
	g.peers.Register(streamService, &streamRPC{g})
	g.peerPool = peer.NewPool(peer.DialTCP)
	g.table = placement.NewTable(d.Settings.ID, d.Settings.DataCentre, rand.New(rand.NewPCG(seed, 2)), g.announceChange)
	if d.Settings.EndpointRamp {
		g.enableRamps()
	}
	g.pool = upstream.NewPool(d.IDHeader, nil, g.dialCounter())
	g.pool.OnStray = g.strayReporter()
	g.members = gossip.NewRegistry(d.Clock, g.badRecordLogger("members"), g.announceChange)
	g.membersFollower = g.follow("members", d.Members, g.members, membersReadWait, membersMinInterval)
	g.node = gossip.NewNode(g.self(), g.members, g, g, d.Clock, d.Log)
	g.suspects = quarantine.NewSharedTable(d.Suspects, d.Log, g.badRecordLogger("suspects"))
	g.follow("suspects", d.Suspects, g.suspects, suspectsReadWait, suspectsMinInterval)
	g.silences = quarantine.NewSilences(g.suspects, d.Clock, d.Log, d.Registry)
	g.registerColdMetrics()
	g.setUpBatch()
	g.buildPipelines()
	return g
}

func (g *Gateway) follow(name string, p keyedlog.Reader, s keyedlog.State, maxWait, minInterval time.Duration) *keyedlog.Follower {
	f := keyedlog.NewFollower(p, s, keyedlog.Options{Name: name, MaxWait: maxWait, MinInterval: minInterval, Clock: g.Clock, Watcher: g.Watcher})
	g.followers = append(g.followers, f)
	return f
}

func (g *Gateway) self() gossip.Member {
	s := g.Settings
	return gossip.Member{Name: s.ID, Incarnation: g.Incarnation, Address: s.PeersAddr, DataCentre: s.DataCentre}
}

func (g *Gateway) setUpBatch() {
	state := batch.NewIndexState(g.badRecordLogger("jobs"), func() {
		if g.jobs != nil {
			g.jobs.Wake()
		}
	})
	g.jobsFollower = g.follow("jobs", g.Jobs, state, jobsReadWait, jobsMinInterval)
	g.jobs = batch.New(batch.Deps{
		Self:        batch.Owner{Entry: g.Settings.ID, Incarnation: g.Incarnation},
		Index:       batch.NewIndex(g.Jobs, g.jobsFollower, state),
		Stores:      g.Contents,
		Limits:      batchLimits(g.Settings),
		Config:      g.Config,
		Table:       g.table,
		Pool:        g.pool,
		Dialect:     g.Dialect,
		Peers:       g.node,
		MayStart:    g.evacuationsConfirmed,
		MayTakeOver: g.mayTakeOver,
		Clock:       g.Clock,
		Log:         g.Log,
		Metrics:     batch.NewMetrics(g.Registry),
	})
}

// BatchJobs returns the batch service.
func (g *Gateway) BatchJobs() *batch.Service { return g.jobs }

// ConfigChanged applies the rate limits, evacuations and homes of a new configuration and
// wakes the batch service.
func (g *Gateway) ConfigChanged(s *config.Snapshot) {
	g.applyLocality(s.State)
	if s.Version == 0 { // evacuations before the first configuration: limits are not known yet
		return
	}
	limits := make(map[string]quota.Limit, len(s.State.Customers))
	for id, c := range s.State.Customers {
		limits[id] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
	}
	g.limits.SetLimits(g.Clock(), limits)
	g.setColdRates(s.State)
	g.listed.SetRoutes(routeTargets(s.State))
	g.jobs.Wake()
}

// randomUnit returns a random number in [0, 1).
func (g *Gateway) randomUnit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// announceChange triggers a new report to the other entries. It is called when the load
// of this entry has changed and when it has read the list of the other entries.
func (g *Gateway) announceChange() {
	if g.node != nil {
		g.node.NotifyChange()
	}
}

// ShareUpdate implements gossip.Listener.
func (g *Gateway) ShareUpdate(s gossip.Share) {
	share := quota.Share{Observed: s.Observed, Own: s.Own, ValidUntil: s.ValidUntil}
	g.limits.SetShare(share)
	g.table.SetColdShare(share)
}

func (g *Gateway) badRecordLogger(partition string) func(key string, err error) {
	return func(key string, err error) {
		g.Log.Warn().Err(err).Str("partition", partition).Str("key", key).Msg("skipping malformed record")
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
