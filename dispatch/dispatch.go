// Package dispatch is the last filter of the pipeline: it picks an endpoint
// of the route's deployment, sends the call to the sidecar beside it, streams
// the answer back and repeats the call elsewhere where that is safe.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/platform"
)

// RetryAfter is the time after which a caller may come back when no endpoint
// could take its call.
const RetryAfter = time.Second

// Deps is what a Dispatcher works with.
type Deps struct {
	Members    membership.Members
	Transport  http.RoundTripper // to sidecars; nil means NewTransport()
	Invariants *invariant.Set
}

// Dispatcher sends calls to endpoints.
type Dispatcher struct {
	members   membership.Members
	transport http.RoundTripper
	checks    *invariant.Set
}

// New returns a Dispatcher.
func New(d Deps) *Dispatcher {
	if d.Transport == nil {
		d.Transport = NewTransport()
	}
	return &Dispatcher{members: d.Members, transport: d.Transport, checks: d.Invariants}
}

// NewTransport returns the HTTP/1.1 transport to sidecars. It never follows a
// proxy and keeps connections open between calls.
func NewTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerSidecar,
		IdleConnTimeout:     idleConnTimeout,
		TLSHandshakeTimeout: dialTimeout,
		DialContext:         dialSidecar,
	}
}

// Handle implements pipeline.Handler.
func (d *Dispatcher) Handle(ctx context.Context, c *pipeline.Call) *api.Error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	endpoint, ok := d.pick(c)
	if !ok {
		return noEndpoint()
	}
	return d.attempt(ctx, c, endpoint)
}

func (d *Dispatcher) pick(c *pipeline.Call) (platform.Instance, bool) {
	var live []platform.Instance
	for _, i := range d.members.Endpoints(c.Route.Deployment) {
		if i.State == platform.Live {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return platform.Instance{}, false
	}
	return live[rand.IntN(len(live))], true
}

// attempt sends the call to one endpoint and relays the answer.
func (d *Dispatcher) attempt(ctx context.Context, c *pipeline.Call, endpoint platform.Instance) *api.Error {
	a := &attempt{id: uuid.NewString(), endpoint: endpoint}
	resp, err := d.transport.RoundTrip(a.request(ctx, c))
	if err != nil {
		return a.failure(ctx)
	}
	defer resp.Body.Close()
	if e := vouched(resp); e != nil {
		return e
	}
	return a.relay(ctx, c, resp)
}

func noEndpoint() *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint can take the call")
	return e.WithRetryAfter(RetryAfter)
}
