// Package sidecar implements the process that runs beside each endpoint and is
// its only caller. It limits the requests and items in flight at the endpoint to
// its slots (items that can't be preempted may exceed them, see package lane) and
// queues the others, online requests before batch items.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/lane"
	"dandelionrelay/membership"
)

// Defaults of Settings, and limits of connections to the endpoint.
const (
	DefaultMaxBodyBytes = 8 << 20
	dialTimeout         = 500 * time.Millisecond
)

// Settings holds the settings of one sidecar.
type Settings struct {
	ID           string // instance ID, unique per start
	DataCentre   string // of the endpoint; empty: never evacuated
	Deployment   string // deployment of the endpoint
	EndpointURL  string // base URL of the endpoint, with an IP address
	MaxBodyBytes int64  // largest request body; 0 means DefaultMaxBodyBytes
	// EndpointVersion is the version of the endpoint's software; empty: all endpoints of
	// the deployment that name none have the same.
	EndpointVersion string
	BatchLimit      lane.BatchLimit
	Policy          lane.Policy
}

// Deps holds the dependencies of a sidecar.
type Deps struct {
	Config     config.Source
	Invariants *invariant.Set // may be nil
	Logger     zerolog.Logger
	Metrics    prometheus.Registerer // may be nil
	Batch      BatchSource           // nil: no batch items are run
	Members    membership.Members    // report whether this instance is leaving; may be nil
	// Log and Weights are used to send orders to a model engine. If either is
	// nil, none are sent.
	Log     infra.Log
	Weights infra.Weights
	// Dial opens connections to the endpoint; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Sidecar serves the requests of entries and runs batch items at one endpoint.
// It is an http.Handler, safe for concurrent use.
type Sidecar struct {
	settings    Settings
	deps        Deps
	endpointURL *url.URL
	transport   *http.Transport
	attempts    *attempts
	drain       *drainState
	scheduler   *scheduler
	metrics     *metrics
	batch       *batchRunner
	health      health
	cold        coldState
	sharedCheck sharedCheck
	gate        *gate
}

// New returns a sidecar, or an error if the endpoint's URL is malformed.
func New(settings Settings, deps Deps) (*Sidecar, error) {
	endpointURL, err := url.Parse(settings.EndpointURL)
	if err != nil {
		return nil, err
	}
	if settings.MaxBodyBytes == 0 {
		settings.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if deps.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		deps.Dial = dialer.DialContext
	}
	s := &Sidecar{
		settings:    settings,
		deps:        deps,
		endpointURL: endpointURL,
		attempts:    newAttempts(),
		drain:       newDrainState(),
		metrics:     newMetrics(deps.Metrics),
		gate:        newGate(),
		cold:        coldState{startedAt: time.Now()},
		sharedCheck: sharedCheck{busy: make(chan struct{}, 1)},
		transport: &http.Transport{
			DialContext:        detectResets(deps.Dial),
			DisableCompression: true,
			// Endpoints don't name the request that an answer belongs to, so a second
			// copy of an answer would be taken for that of the next request.
			DisableKeepAlives: true,
		},
	}
	d, _ := s.deployment()
	s.scheduler = newScheduler(lane.Options{
		Slots:      d.Slots,
		Limit:      settings.BatchLimit,
		Policy:     settings.Policy,
		Invariants: deps.Invariants,
	}, s.metrics)
	s.applyDeployment(d)
	s.batch = newBatchRunner(s)
	s.registerGauges(deps.Metrics)
	return s, nil
}

// deployment returns the configuration of the endpoint's deployment, or false if
// it is not configured. An unconfigured deployment has no slots.
func (s *Sidecar) deployment() (config.Deployment, bool) {
	d, ok := s.deps.Config.Current().State.Deployments[s.settings.Deployment]
	return d, ok
}
