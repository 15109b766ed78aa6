// Package dispatch is the last filter of the pipeline: it picks an endpoint
// of the route's deployment, sends the call to the sidecar beside it, streams
// the answer back and repeats the call elsewhere where that is safe.
//
// Decisions are passive types (Picker, Loads, Budget, membership.Detector);
// Dispatcher does the I/O around them.
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
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

// RetryAfter is the time after which a caller may come back with a call that
// was given up on.
const RetryAfter = time.Second

// Deps is what a Dispatcher works with. All but Members may be left out.
type Deps struct {
	Members    membership.Members
	Detector   *membership.Detector
	Suspects   quarantine.Tracker
	Transport  http.RoundTripper // to sidecars; nil means NewTransport()
	Invariants *invariant.Set
	Metrics    prometheus.Registerer
	Logger     zerolog.Logger
	Rand       Rand   // safe for concurrent use; nil means the runtime's
	ID         string // instance id of this entry
	DataCentre string // of this entry
	// RecordLeaving is told of endpoints that gave notice on an answer.
	RecordLeaving func(id string)
}

// Dispatcher sends calls to endpoints. Run must run beside Handle.
type Dispatcher struct {
	members     membership.Members
	detector    *membership.Detector
	suspects    quarantine.Tracker
	transport   http.RoundTripper
	checks      *invariant.Set
	metrics     *metrics
	logger      zerolog.Logger
	rand        Rand
	noteLeaving func(id string)

	loads    *Loads
	picker   *Picker
	affinity *Affinity
	budgets  budgets
	subsets  subsets
	watch    *watch
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
	if d.Rand == nil {
		d.Rand = runtimeRand{}
	}
	loads := NewLoads()
	return &Dispatcher{
		members:     d.Members,
		detector:    d.Detector,
		suspects:    d.Suspects,
		transport:   d.Transport,
		checks:      d.Invariants,
		metrics:     newMetrics(d.Metrics),
		logger:      d.Logger,
		rand:        d.Rand,
		noteLeaving: d.RecordLeaving,
		loads:       loads,
		picker:      NewPicker(loads),
		affinity:    NewAffinity(),
		subsets:     subsets{self: d.ID, dataCentre: d.DataCentre},
		watch:       newWatch(),
	}
}

// Handle implements pipeline.Handler. Once a byte of the answer was sent, a
// failure that can't be mended ends the connection by http.ErrAbortHandler.
func (d *Dispatcher) Handle(ctx context.Context, c *pipeline.Call) *api.Error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	y := &delivery{d: d, c: c}
	return y.run(ctx)
}

// learn takes in what an answer says of its endpoint.
func (d *Dispatcher) learn(endpoint string, h http.Header) {
	now := time.Now()
	if ms, err := strconv.ParseInt(h.Get(api.HeaderQueueWait), 10, 64); err == nil && ms >= 0 {
		d.loads.RecordQueueWait(endpoint, time.Duration(ms)*time.Millisecond, now)
	}
	if h.Get(api.HeaderLeaving) != "1" {
		return
	}
	d.detector.RecordLeaving(endpoint, now)
	if d.noteLeaving != nil {
		d.noteLeaving(endpoint)
	}
}

// runtimeRand is the random source of production.
type runtimeRand struct{}

// IntN implements Rand.
func (runtimeRand) IntN(n int) int { return rand.IntN(n) }
