package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sleep"
)

// coldPollInterval is the time without a response after which an endpoint that can be cold
// gets a health check, which finds out that it has started again while nothing was sent to it.
const coldPollInterval = time.Second

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
	responded time.Time // time of the last response
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
	c.responded = now
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

// lastResponse returns the time of the last response, zero if there was none.
func (c *coldState) lastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responded
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
		event := s.deps.Logger.Info().Float64("rate", rate).Dur("left", max(0, until.Sub(now)))
		if cold {
			event.Msg("endpoint is cold: its requests and items are limited to the rate")
		} else {
			event.Msg("endpoint is no longer cold")
		}
	}
}

// observeCold records what a response says about the endpoint being cold.
func (s *Sidecar) observeCold(h http.Header) {
	d, ok := s.deployment()
	if !ok || !d.HasColdRate() {
		return
	}
	if statement := h.Get(api.HeaderCold); !s.cold.observe(time.Now(), statement, d) {
		s.metrics.badColdStatements.Inc()
		s.deps.Logger.Warn().Str("value", statement).Str("header", api.HeaderCold).
			Msg("bad statement of the endpoint; it counts as cold for the whole cold time")
	}
	s.applyColdLimit(d)
}

// recordRestart records that the endpoint was lost, which may have started again when it
// responds next.
func (s *Sidecar) recordRestart() {
	s.cold.restarted()
	if d, ok := s.deployment(); ok {
		s.applyColdLimit(d)
	}
}

// sharedCheck is the last health check of a cold endpoint. Those who ask for one before it
// has begun share its result, as each costs a part of the rate.
type sharedCheck struct {
	busy  chan struct{} // holds a value while a check waits or runs
	due   time.Time     // time of the token that was reserved last
	began time.Time
	err   *api.Error
}

// checkColdHealth is checkHealth for a cold endpoint: it waits for a token, or until ctx
// ends.
func (s *Sidecar) checkColdHealth(ctx context.Context) *api.Error {
	asked := time.Now()
	check := &s.sharedCheck
	select {
	case check.busy <- struct{}{}:
	case <-ctx.Done():
		return checkCancelledError()
	}
	defer func() { <-check.busy }()
	if check.began.After(asked) {
		return check.err
	}
	// A token that a cancelled check has left is used: reserving one for each cancelled
	// check would put off all starts.
	if now := time.Now(); !check.due.After(now) {
		check.due = now.Add(s.scheduler.reserveStart(now))
	}
	if !sleep.For(ctx, time.Until(check.due)) {
		return checkCancelledError()
	}
	check.due = time.Time{}
	check.began = time.Now()
	check.err = s.sendHealthCheck(context.WithoutCancel(ctx))
	return check.err
}

// checkCancelledError returns the error of a health check that was not sent, as its context
// has ended.
func checkCancelledError() *api.Error {
	return unavailable(api.CodeNoEndpoint, "the health check of the cold endpoint was cancelled")
}

// watchCold polls an endpoint that can be cold until ctx ends: after each coldPollInterval
// without a response, unless requests or items wait, which need the tokens themselves.
func (s *Sidecar) watchCold(ctx context.Context) {
	for wait := coldPollInterval; sleep.For(ctx, wait); {
		d, ok := s.deployment()
		if !ok || !d.HasColdRate() {
			wait = coldPollInterval
			continue
		}
		wait = coldPollInterval - time.Since(s.cold.lastResponse())
		if wait > 0 {
			continue
		}
		wait = coldPollInterval
		if !s.scheduler.mayPoll(time.Now()) {
			continue
		}
		if s.health.lost.Load() {
			s.endpointHealthy(ctx)
			continue
		}
		if e := s.checkHealth(ctx); e != nil && e.Code == api.CodeEndpointLost {
			s.health.lost.Store(true)
			s.recordRestart()
		}
	}
}
