package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// healthTimeout bounds a health check of the endpoint.
const healthTimeout = time.Second

// membershipPollInterval is the time between two checks of the instance list.
const membershipPollInterval = time.Second

// health holds whether the endpoint was lost and has not passed a health check
// since.
type health struct{ lost atomic.Bool }

// recordEndpointLost records that an attempt failed because the endpoint was
// lost. Nothing is sent to the endpoint until it passes a health check.
func (s *Sidecar) recordEndpointLost(attempt string, outcome api.Outcome) {
	s.metrics.losses.Inc()
	s.health.lost.Store(true)
	s.recordLoss()
	if outcome != api.NotRun {
		s.gate.recordCrash(attempt)
	}
}

// endpointHealthy reports whether the endpoint is usable. It runs a health check
// if the endpoint was lost.
func (s *Sidecar) endpointHealthy(ctx context.Context) bool {
	if !s.health.lost.Load() {
		return true
	}
	if s.checkHealth(ctx) != nil {
		return false
	}
	s.health.lost.Store(false)
	return true
}

// checkHealth sends a health check to the endpoint. It returns an error if the
// endpoint can't be reached or responds with status 500 or above.
func (s *Sidecar) checkHealth(ctx context.Context) *api.Error {
	if s.scheduler.isCold(time.Now()) {
		return s.checkColdHealth(ctx)
	}
	return s.sendHealthCheck(ctx)
}

func (s *Sidecar) sendHealthCheck(ctx context.Context) *api.Error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	resp, e := s.callEndpoint(ctx, &request{Method: http.MethodGet, Path: "/health", Retryable: true})
	if e != nil {
		return e.WithOutcome(api.NotRun)
	}
	return checkHealthResponse(resp)
}

// checkHealthResponse closes the body of resp and returns an error if its status
// is 500 or above.
func checkHealthResponse(resp *http.Response) *api.Error {
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint is not healthy")
	}
	return nil
}

// watchInstanceList calls StartDrain once the instance list shows that this
// instance is leaving. That state is final, as instance IDs are never reused.
func (s *Sidecar) watchInstanceList(ctx context.Context) {
	tick := time.NewTicker(membershipPollInterval)
	defer tick.Stop()
	for !listedLeaving(s.deps.Members, s.settings) {
		select {
		case <-tick.C:
		case <-s.drain.draining():
			return
		case <-ctx.Done():
			return
		}
	}
	s.StartDrain()
}

// listedLeaving reports whether the instance list shows the instance of s as
// leaving.
func listedLeaving(m membership.Members, s Settings) bool {
	for _, i := range m.Endpoints(s.Deployment) {
		if i.ID == s.ID {
			return i.State == infra.Leaving
		}
	}
	return false
}
