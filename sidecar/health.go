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

// memberInterval is the time between two looks at the instance list.
const membershipPollInterval = time.Second

// health remembers whether the endpoint was lost.
type health struct{ lost atomic.Bool }

// endpointLost notes that an attempt failed: nothing is pulled until the
// endpoint answers its health check.
func (s *Sidecar) recordEndpointLost(attempt string, outcome api.Outcome) {
	s.metrics.losses.Inc()
	s.health.lost.Store(true)
	if outcome != api.NotRun {
		s.gate.recordCrash(attempt)
	}
}

// endpointAnswers reports whether the endpoint is usable, asking it if the
// last call failed.
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

// checkHealth asks the endpoint.
func (s *Sidecar) checkHealth(ctx context.Context) *api.Error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	resp, e := s.callEndpoint(ctx, &request{Method: http.MethodGet, Path: "/health", Retryable: true})
	if e != nil {
		return e.WithOutcome(api.NotRun)
	}
	return checkHealthResponse(resp)
}

func checkHealthResponse(resp *http.Response) *api.Error {
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint is not healthy")
	}
	return nil
}

// followMembers calls StartDrain once the instance list says that this instance is
// leaving. The word is final: an id is never used again.
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

func listedLeaving(m membership.Members, own Settings) bool {
	for _, i := range m.Endpoints(own.Deployment) {
		if i.ID == own.ID {
			return i.State == infra.Leaving
		}
	}
	return false
}
