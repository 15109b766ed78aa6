package entry

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/jobs"
	"dandelionrelay/pipeline"
)

// serveJobs returns the last handler of the batch pipeline, which calls h. It sets
// ResponseStarted, as h writes its error responses itself.
func serveJobs(h http.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		c.ResponseStarted = true
		h.ServeHTTP(c.W, c.R.WithContext(jobs.WithCustomer(ctx, c.Customer)))
		return nil
	}
}

// onlyPOST applies filter to POST requests only. With the limit filter, reads and
// deletions do not count against a customer's rate.
func onlyPOST(filter pipeline.Filter) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		filtered := filter(next)
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if c.R.Method == http.MethodPost {
				return filtered(ctx, c)
			}
			return next(ctx, c)
		}
	}
}
