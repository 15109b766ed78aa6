package entry

import (
	"context"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/jobs"
	"dandelionrelay/pipeline"
)

// serveJobs ends the pipeline of the batch interface. The handler answers its
// own errors.
func serveJobs(h http.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		c.ResponseStarted = true
		h.ServeHTTP(c.W, c.R.WithContext(jobs.WithCustomer(ctx, c.Customer)))
		return nil
	}
}

// onSubmit applies filter to calls that hand in or change something; reading
// is not counted against a customer's rate.
func onSubmit(filter pipeline.Filter) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		counted := filter(next)
		return func(ctx context.Context, c *pipeline.Call) *api.Error {
			if c.R.Method == http.MethodPost {
				return counted(ctx, c)
			}
			return next(ctx, c)
		}
	}
}
