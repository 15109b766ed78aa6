// Package pipeline joins the filters that a caller's request passes through
// at an entry. Each filter has one job, and either refuses the call or hands
// it on.
package pipeline

import (
	"context"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

// Call is one request on its way. Filters fill in what they found out.
type Call struct {
	W        http.ResponseWriter
	R        *http.Request
	ID       string    // request id, in logs and answers
	Received time.Time // when the entry had read the request
	Deadline time.Time // when the answer is worthless; set by route
	Body     []byte    // whole and bounded

	Snapshot   *config.Snapshot // in force when the call came in
	KeyID      string           // set by authn; empty without a key
	Customer   string           // set by authn; empty without a key
	RouteID    string           // set by route
	Route      config.Route     // set by route
	Deployment config.Deployment
	Chat       *api.ChatRequest // set by route for model deployments

	// Admitted is set once all filters let the call pass to the last step.
	Admitted bool
	// ResponseStarted is set as soon as a byte of the answer was sent to the caller.
	ResponseStarted bool
	// BesideBatch says that batch items ran at the endpoint when the call came
	// there; set by dispatch before the first byte of the answer.
	BesideBatch bool
}

// Handler serves a call. It returns nil once it has answered the caller, or
// the error with which to answer.
type Handler func(ctx context.Context, c *Call) *api.Error

// Filter wraps the rest of the pipeline.
type Filter func(next Handler) Handler

// Chain returns last behind the filters, the first of them outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
