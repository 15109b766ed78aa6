package sidecar

import (
	"time"

	"dandelionrelay/api"
)

// logEnd logs how a request of an entry ended; e points to the error with
// which it was answered, if any. It runs also when the answer is cut.
func (s *Sidecar) logRequestEnd(req *request, e **api.Error) {
	event := s.deps.Logger.Debug().Str("request", req.ID).Str("attempt", req.Attempt).
		Str("customer", req.Customer).Dur("took_ms", time.Since(req.Received))
	if *e != nil {
		event = event.Str("code", string((*e).Code)).Str("outcome", string((*e).Outcome))
	}
	event.Msg("attempt ended")
}

// logItem logs how an attempt at a batch item ended.
func (b *batchRunner) logItem(run *itemRun, r api.Result) {
	b.deps.Logger.Debug().Str("request", run.id).Str("customer", run.Customer).
		Str("state", string(r.State)).Int("status", r.Status).Msg("item ended")
}
