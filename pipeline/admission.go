package pipeline

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
)

// leavingRetryAfter is the Retry-After of a refusal by an entry that is leaving: others serve
// the caller at once.
const leavingRetryAfter = 100 * time.Millisecond

// Admission says whether an entry admits further calls. The zero value admits all.
type Admission struct{ ended atomic.Bool }

// End makes Filter refuse all further calls. It is called in a shutdown once the load balancer
// has removed the entry: a call whose body comes later may not end before the process does.
func (a *Admission) End() { a.ended.Store(true) }

// Filter is a filter that refuses calls after End, as not run. The body of a call has come by
// then, unless its handler streams it.
func (a *Admission) Filter(next Handler) Handler {
	return func(ctx context.Context, c *Call) *api.Error {
		if a.ended.Load() {
			return api.NewError(http.StatusServiceUnavailable, api.CodeLeaving, "this entry is leaving").WithRetryAfter(leavingRetryAfter)
		}
		return next(ctx, c)
	}
}
