package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

const (
	// ProbePath is answered by sidecars themselves: with a status of 2xx if
	// the endpoint behind them is healthy.
	ProbePath = "/-/relay/probe"

	probeTick  = 100 * time.Millisecond
	expireTick = time.Minute
)

// Run probes suspected and silent endpoints until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		for _, id := range d.detector.DueProbes(now) {
			go d.probe(ctx, id)
		}
		if now.Sub(expired) >= expireTick {
			d.loads.Expire(now)
			expired = now
		}
	}
}

// probe asks one endpoint for a sign of life and acts on the result.
func (d *Dispatcher) probe(ctx context.Context, id string) {
	endpoint, ok := d.loads.Instance(id)
	if !ok || !d.member(endpoint) {
		d.watch.silent(id)
		d.detector.Forget(id)
		return
	}
	if healthy, _ := d.ask(ctx, endpoint, ""); healthy {
		d.detector.RecordAlive(id, time.Now())
		return
	}
	if d.detector.RecordMissedProbe(id, time.Now()) {
		d.watch.silent(id)
	}
}

func (d *Dispatcher) member(endpoint infra.Instance) bool {
	return slices.ContainsFunc(d.members.Endpoints(endpoint.Deployment), func(i infra.Instance) bool {
		return i.ID == endpoint.ID
	})
}

// ask probes an endpoint's sidecar. It returns whether the endpoint is well
// and, if not, what the sidecar saw of its crash with an attempt: CrashLost if
// there is no sidecar to ask.
func (d *Dispatcher) ask(ctx context.Context, endpoint infra.Instance, attempt string) (bool, api.Crash) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	r := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: endpoint.HTTPAddr, Path: ProbePath},
		Header: http.Header{api.HeaderAttemptID: {attempt}},
	}
	resp, err := d.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return false, api.CrashLost
	}
	defer resp.Body.Close()
	d.learn(endpoint.ID, resp.Header)
	return resp.StatusCode/100 == 2, api.Crash(resp.Header.Get(api.HeaderCrash))
}
