// Package dispatch is the last step of the pipeline. It picks an endpoint of
// the route's deployment, sends the call to the endpoint's sidecar, streams the
// response to the caller, and retries the call at another endpoint where that
// is safe.
//
// Picker, Loads, Affinity, RetryBudget and membership.Detector make the decisions
// and do no I/O; Dispatcher does the I/O.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

// RetryAfter is the delay after which a caller may retry a call that failed.
const RetryAfter = time.Second

// Deps holds the dependencies of a Dispatcher. All but Members are optional.
type Deps struct {
	Members    membership.Members
	Detector   *membership.Detector
	Suspects   quarantine.Tracker
	Transport  http.RoundTripper // to sidecars; default NewTransport()
	Invariants *invariant.Set
	Metrics    prometheus.Registerer
	Logger     zerolog.Logger
	Rand       Rand   // safe for concurrent use; default math/rand/v2
	ID         string // instance ID of this entry
	DataCentre string // of this entry
	// RecordLeaving is called with the ID of an endpoint whose response, to
	// a call or a probe, announces that it is leaving.
	RecordLeaving func(id string)
	// CheckLocality decides whether a call may run in a data centre; nil: in any.
	CheckLocality func(c *pipeline.Call, dataCentre string) locality.Verdict
}

// Dispatcher sends calls to endpoints. Run must run concurrently with Handle,
// as it probes the endpoints that Handle waits for.
type Dispatcher struct {
	members       membership.Members
	detector      *membership.Detector
	suspects      quarantine.Tracker
	transport     http.RoundTripper
	invariants    *invariant.Set
	metrics       *metrics
	logger        zerolog.Logger
	rand          Rand
	recordLeaving func(id string)
	checkLocality func(c *pipeline.Call, dataCentre string) locality.Verdict

	loads    *Loads
	picker   *Picker
	affinity *Affinity
	budgets  budgets
	subsets  subsets
	inFlight *inFlightAttempts
}

// New returns a Dispatcher.
func New(d Deps) *Dispatcher {
	if d.Transport == nil {
		d.Transport = NewTransport()
	}
	if d.Detector == nil {
		d.Detector = membership.NewDetector()
	}
	if d.Suspects == nil {
		d.Suspects = quarantine.NopTracker{}
	}
	if d.CheckLocality == nil {
		d.CheckLocality = func(*pipeline.Call, string) locality.Verdict { return locality.Allowed }
	}
	if d.Rand == nil {
		d.Rand = runtimeRand{}
	}
	loads := NewLoads()
	return &Dispatcher{
		members:       d.Members,
		detector:      d.Detector,
		suspects:      d.Suspects,
		transport:     d.Transport,
		invariants:    d.Invariants,
		metrics:       newMetrics(d.Metrics),
		logger:        d.Logger,
		rand:          d.Rand,
		recordLeaving: d.RecordLeaving,
		checkLocality: d.CheckLocality,
		loads:         loads,
		picker:        NewPicker(loads),
		affinity:      NewAffinity(),
		subsets:       subsets{self: d.ID, dataCentre: d.DataCentre},
		inFlight:      newInFlightAttempts(),
	}
}

// Handle implements pipeline.Handler. If a call fails after a byte of the
// response was sent and can't be resumed, Handle panics with
// http.ErrAbortHandler to close the connection.
func (d *Dispatcher) Handle(ctx context.Context, c *pipeline.Call) *api.Error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	f := &forwarder{dispatcher: d, call: c}
	return f.run(ctx)
}

// recordEndpointState records the software version, the queue wait and the leaving notice
// that the headers of a response carry.
func (d *Dispatcher) recordEndpointState(endpoint string, h http.Header) {
	now := time.Now()
	d.loads.RecordVersion(endpoint, h.Get(api.HeaderEndpointVersion))
	if ms, err := strconv.ParseInt(h.Get(api.HeaderQueueWait), 10, 64); err == nil && ms >= 0 {
		d.loads.RecordQueueWait(endpoint, time.Duration(ms)*time.Millisecond, now)
	}
	if h.Get(api.HeaderLeaving) != "1" {
		return
	}
	d.detector.RecordLeaving(endpoint, now)
	if d.recordLeaving != nil {
		d.recordLeaving(endpoint)
	}
}

// runtimeRand implements Rand with the global source of math/rand/v2.
type runtimeRand struct{}

// IntN implements Rand.
func (runtimeRand) IntN(n int) int { return rand.IntN(n) }
