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
	// ProbePath is the path of the health probe. Sidecars handle it themselves,
	// with a status of 2xx if their endpoint is healthy.
	ProbePath = "/-/relay/probe"

	probeInterval      = 100 * time.Millisecond
	loadExpiryInterval = time.Minute
)

// Run probes the endpoints that the detector names, which are suspected to have
// failed or are silent with attempts in flight, and expires loads, until ctx is
// done.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	lastExpiry := time.Now()
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
		if now.Sub(lastExpiry) >= loadExpiryInterval {
			d.loads.Expire(now)
			lastExpiry = now
		}
	}
}

// probe probes one endpoint and records the result. If the endpoint is suspected
// to have failed or is no longer a member, it cancels the attempts of idempotent
// calls there.
func (d *Dispatcher) probe(ctx context.Context, id string) {
	endpoint, ok := d.loads.Instance(id)
	if !ok || !d.isMember(endpoint) {
		d.inFlight.cancelAll(id)
		d.detector.Forget(id)
		return
	}
	if healthy, _ := d.probeSidecar(ctx, endpoint, ""); healthy {
		d.detector.RecordAlive(id, time.Now())
		return
	}
	if d.detector.RecordMissedProbe(id, time.Now()) {
		d.inFlight.cancelAll(id)
	}
}

// isMember reports whether endpoint is among the endpoints of its deployment.
func (d *Dispatcher) isMember(endpoint infra.Instance) bool {
	return slices.ContainsFunc(d.members.Endpoints(endpoint.Deployment), func(i infra.Instance) bool {
		return i.ID == endpoint.ID
	})
}

// probeSidecar sends a probe to an endpoint's sidecar, with a timeout of
// membership.ProbeTimeout. It returns whether the endpoint is healthy and, if
// not, what the sidecar reports of a crash with attempt in flight, or CrashLost
// if the sidecar does not respond.
func (d *Dispatcher) probeSidecar(ctx context.Context, endpoint infra.Instance, attempt string) (bool, api.Crash) {
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
	d.recordEndpointState(endpoint.ID, resp.Header)
	return resp.StatusCode/100 == 2, api.Crash(resp.Header.Get(api.HeaderCrash))
}
