package dispatch

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"dandelionrelay/membership"
	"dandelionrelay/platform"
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
		for _, id := range d.detector.Due(now) {
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
	if d.healthy(ctx, endpoint) {
		d.detector.Alive(id, time.Now())
		return
	}
	if d.detector.ProbeMissed(id, time.Now()) {
		d.watch.silent(id)
	}
}

func (d *Dispatcher) member(endpoint platform.Instance) bool {
	return slices.ContainsFunc(d.members.Endpoints(endpoint.Deployment), func(i platform.Instance) bool {
		return i.ID == endpoint.ID
	})
}

func (d *Dispatcher) healthy(ctx context.Context, endpoint platform.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	r := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: endpoint.HTTPAddr, Path: ProbePath},
		Header: http.Header{},
	}
	resp, err := d.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	d.learn(endpoint.ID, resp.Header)
	return resp.StatusCode/100 == 2
}
