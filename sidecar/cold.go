package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sleep"
)

// Polls are health checks of an endpoint that can be cold. They find out that it has
// started again while nothing was sent to it, or that it has returned.
const (
	coldPollInterval = time.Second // shortest time between two polls
	// coldRequestsPerPoll is the number of requests for which the rate has room between two
	// polls of an endpoint that is not lost, so that polls take at most a tenth of the tokens.
	coldRequestsPerPoll = 10
)

// coldMargin is added to the time for which an endpoint says that it remains cold, which
// is rounded and passes on the way. The requests that wait start together when the limit
// ends, which crashes an endpoint that is cold for a millisecond longer.
const coldMargin = 100 * time.Millisecond

// coldState decides until when the endpoint is cold: for the deployment's cold time from
// the start of the sidecar, which knows no earlier one, and from each return of an endpoint
// that was lost, unless the endpoint says otherwise. Its last statement counts. It is safe
// for concurrent use and does no I/O.
type coldState struct {
	mu        sync.Mutex
	startedAt time.Time
	until     time.Time // as stated by the endpoint, or since its last return; zero: neither
	lost      bool      // the endpoint was lost and has not responded since
}

// restarted records that the endpoint was lost, so that it may be cold when it returns.
func (c *coldState) restarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

// observe records a response of the endpoint. statement is the value of api.HeaderCold;
// empty: none. It returns false if the statement is not valid, and takes the endpoint for
// one that has just started then.
func (c *coldState) observe(now time.Time, statement string, d config.Deployment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	returned := c.lost
	c.lost = false
	if statement == "" {
		if returned {
			c.until = now.Add(time.Duration(d.ColdTime))
		}
		return true
	}
	ms, err := strconv.ParseInt(statement, 10, 64)
	if err != nil || ms < 0 || ms > time.Duration(config.MaxColdTime).Milliseconds() {
		c.until = now.Add(time.Duration(d.ColdTime))
		return false
	}
	c.until = now
	if ms > 0 {
		c.until = now.Add(time.Duration(ms)*time.Millisecond + coldMargin)
	}
	return true
}

// limit returns the rate in force, 0 if the endpoint is never cold, and the time until
// which it applies.
func (c *coldState) limit(now time.Time, d config.Deployment) (rate float64, until time.Time) {
	if !d.HasColdRate() {
		return 0, time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	coldTime := time.Duration(d.ColdTime)
	switch {
	case c.lost:
		return d.ColdRate, now.Add(coldTime)
	case c.until.IsZero():
		return d.ColdRate, c.startedAt.Add(coldTime)
	}
	return d.ColdRate, c.until
}

// applyDeployment applies the configuration of the deployment and the limit of a cold
// endpoint to the queue.
func (s *Sidecar) applyDeployment(d config.Deployment) {
	s.applyColdLimit(d)
	s.scheduler.applyDeployment(d)
}

// applyColdLimit applies the limit of a cold endpoint to the queue and logs its changes.
func (s *Sidecar) applyColdLimit(d config.Deployment) {
	now := time.Now()
	rate, until := s.cold.limit(now, d)
	if became, cold := s.scheduler.setCold(now, rate, until); became {
		message := "endpoint is no longer cold"
		if cold {
			message = "endpoint is cold"
		}
		s.deps.Logger.Info().Float64("rate", rate).Dur("left", max(0, until.Sub(now))).Msg(message)
	}
}

// observeCold records what a response says about the endpoint being cold.
func (s *Sidecar) observeCold(h http.Header) {
	d, ok := s.deployment()
	if !ok || !d.HasColdRate() {
		return
	}
	s.sharedCheck.err.Store(nil)
	if statement := h.Get(api.HeaderCold); !s.cold.observe(time.Now(), statement, d) {
		s.metrics.badColdStatements.Inc()
		s.deps.Logger.Warn().Str("value", statement).Str("header", api.HeaderCold).
			Msg("bad statement of the endpoint; it counts as cold for the whole cold time")
	}
	s.applyColdLimit(d)
}

// recordLoss records that the endpoint was lost, which may have started again when it
// responds next.
func (s *Sidecar) recordLoss() {
	s.cold.restarted()
	if d, ok := s.deployment(); ok {
		s.applyColdLimit(d)
	}
}

// sharedCheck is the last health check of a cold endpoint. Those who ask for one before it
// has begun share its result, as each costs a part of the rate.
type sharedCheck struct {
	busy  chan struct{} // holds a value while a check waits or runs
	began time.Time
	err   atomic.Pointer[api.Error] // nil also after a later response of the endpoint
}

// maxHealthWait bounds the wait of a health check for its token, within the time for which
// entries wait for a probe. Polls wait longer.
const maxHealthWait = 250 * time.Millisecond

// checkColdHealth is checkHealth for a cold endpoint. While the endpoint is not lost, it
// returns what the last poll found: entries probe an endpoint where requests wait for
// tokens, and at a low rate these probes would take all of them.
func (s *Sidecar) checkColdHealth(ctx context.Context) *api.Error {
	if !s.health.lost.Load() {
		return s.sharedCheck.err.Load()
	}
	return s.checkWithToken(ctx, maxHealthWait)
}

// checkWithToken sends a health check to a cold endpoint if there is a token for it within
// most, and otherwise returns what the last check found.
func (s *Sidecar) checkWithToken(ctx context.Context, most time.Duration) *api.Error {
	asked := time.Now()
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	select {
	case s.sharedCheck.busy <- struct{}{}:
		defer func() { <-s.sharedCheck.busy }()
	case <-timeout.C:
		return s.lastHealth()
	}
	if s.sharedCheck.began.After(asked) {
		return s.sharedCheck.err.Load()
	}
	wait, ok := s.scheduler.reserveStart(time.Now(), most)
	if !ok || !sleep.For(ctx, wait) {
		return s.lastHealth()
	}
	s.sharedCheck.began = time.Now()
	e := s.sendHealthCheck(context.WithoutCancel(ctx))
	s.sharedCheck.err.Store(e)
	return e
}

// lastHealth returns an error if the endpoint was lost and has not responded since, or if
// the last check failed.
func (s *Sidecar) lastHealth() *api.Error {
	if s.health.lost.Load() {
		return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "the endpoint was lost")
	}
	return s.sharedCheck.err.Load()
}

// watchCold polls an endpoint that can be cold until ctx ends.
func (s *Sidecar) watchCold(ctx context.Context) {
	for wait := coldPollInterval; sleep.For(ctx, wait); {
		wait = coldPollInterval
		d, ok := s.deployment()
		if !ok || !d.HasColdRate() {
			continue
		}
		lost := s.health.lost.Load()
		e := s.pollHealth(ctx)
		switch {
		case e == nil && lost:
			s.health.lost.Store(false)
		case e == nil:
			wait = max(coldPollInterval, time.Duration(coldRequestsPerPoll/d.ColdRate*float64(time.Second)))
		case e.Code == api.CodeEndpointLost && s.health.lost.CompareAndSwap(false, true):
			s.recordLoss()
		}
	}
}

// pollHealth is checkHealth that waits for a token of a cold endpoint as long as that takes,
// so that an endpoint that was lost is found again whatever its rate.
func (s *Sidecar) pollHealth(ctx context.Context) *api.Error {
	if s.scheduler.isCold(time.Now()) {
		return s.checkWithToken(ctx, time.Hour)
	}
	return s.sendHealthCheck(ctx)
}
