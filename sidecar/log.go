package sidecar

import (
	"time"

	"dandelionrelay/api"
)

// logRequestEnd logs the end of a request of an entry; e points to the error
// that was returned, if any. It is deferred, so that it also runs when the
// response is aborted.
func (s *Sidecar) logRequestEnd(req *request, e **api.Error) {
	event := s.deps.Logger.Debug().Str("request", req.ID).Str("attempt", req.Attempt).
		Str("customer", req.Customer).Dur("took_ms", time.Since(req.Received))
	if *e != nil {
		event = event.Str("code", string((*e).Code)).Str("outcome", string((*e).Outcome))
	}
	event.Msg("attempt ended")
}

// logItem logs the end of an attempt of a batch item.
func (b *batchRunner) logItem(run *itemRun, r api.Result) {
	b.deps.Logger.Debug().Str("request", run.id).Str("customer", run.Customer).
		Str("state", string(r.State)).Int("status", r.Status).Msg("item ended")
}
