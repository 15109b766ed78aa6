// Package sidecar is the process beside each endpoint. It keeps the work that
// the endpoint has admitted at what it can run, queues the rest with online
// requests before batch items, and is the only one that calls the endpoint.
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

// Defaults of Settings.
const (
	DefaultMaxBodyBytes = 8 << 20
	idleConnTimeout     = 30 * time.Second
	dialTimeout         = 500 * time.Millisecond
)

// Settings of one sidecar.
type Settings struct {
	ID           string // instance id, unique per start
	Deployment   string // of the endpoint beside it
	EndpointURL  string // base URL of the endpoint, with an IP address
	MaxBodyBytes int64  // largest request body; 0 means DefaultMaxBodyBytes
	BatchLimit   lane.BatchLimit
	Policy       lane.Policy
}

// Deps are what a sidecar works with.
type Deps struct {
	Config     config.Source
	Invariants *invariant.Set // may be nil
	Logger     zerolog.Logger
	Metrics    prometheus.Registerer // may be nil
	Batch      BatchSource           // nil: no batch work
	Members    membership.Members    // says whether this instance is leaving; may be nil
	// Log and Weights serve to give orders to a model engine; without both of
	// them none are given.
	Log     infra.Log
	Weights infra.Weights
	// Dial opens connections to the endpoint; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Sidecar serves entries on behalf of one endpoint. It is an http.Handler.
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
	gate        *gate
}

// New returns a sidecar, or an error if the endpoint's URL is malformed.
func New(settings Settings, deps Deps) (*Sidecar, error) {
	base, err := url.Parse(settings.EndpointURL)
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
		endpointURL: base,
		attempts:    newAttempts(),
		drain:       newDrainState(),
		metrics:     newMetrics(deps.Metrics),
		gate:        newGate(),
		transport: &http.Transport{
			DialContext:         deps.Dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     idleConnTimeout,
		},
	}
	d, _ := s.deployment()
	s.scheduler = newScheduler(lane.Options{
		Slots:      d.Slots,
		Limit:      settings.BatchLimit,
		Policy:     settings.Policy,
		Invariants: deps.Invariants,
	}, s.metrics)
	s.scheduler.applyDeployment(d)
	s.batch = newBatchRunner(s)
	s.registerGauges(deps.Metrics)
	return s, nil
}

// deployment returns the configuration of the endpoint's deployment. Without
// one there are no slots.
func (s *Sidecar) deployment() (config.Deployment, bool) {
	d, ok := s.deps.Config.Current().State.Deployments[s.settings.Deployment]
	return d, ok
}
