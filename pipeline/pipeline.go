// Package pipeline defines the chain of filters that processes a caller's
// request at an entry. Each filter has one task, and either rejects the call or
// passes it to the next handler.
package pipeline

import (
	"context"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

// Call is one request in the pipeline. Filters set the fields that they determine.
type Call struct {
	W        http.ResponseWriter
	R        *http.Request
	ID       string    // request ID, in logs and responses
	Received time.Time // time at which the entry had read the request
	Deadline time.Time // time after which the caller needs no response; set or limited by the route filter
	Body     []byte    // whole body, bounded in size; nil if the handler streams it
	// PromptParts holds the IDs of the parts of the prompt that other requests may share,
	// in the order of the prompt.
	PromptParts []string
	// Resumption is nil unless the caller takes up a stream.
	Resumption *Resumption

	Snapshot *config.Snapshot // in force when the call was received
	KeyID    string           // ID of the caller's key; set by the authentication filter; empty without a key
	Customer string           // set by the authentication filter; empty without a key
	RouteID  string           // set by the route filter
	Route    config.Route     // set by the route filter
	// NextDeployments are the further deployments of a split route, which are tried in this
	// order if no endpoint of Route.Deployment takes the call.
	NextDeployments []string
	Deployment      config.Deployment // set by package route
	Chat            *api.ChatRequest  // set by package route for model deployments

	// Admitted is set by package gateway once all filters have passed the call to
	// the last handler.
	Admitted bool
	// ResponseStarted is set once a handler has begun to write the response, or if
	// it writes every response itself: no error response can be sent after that.
	ResponseStarted bool
	// BesideBatch says that batch items were running at the endpoint when the
	// call arrived there; set by dispatch before the first byte of the response.
	BesideBatch bool
}

// Handler serves a call. It returns nil once it has sent the response, or the
// error to respond with.
type Handler func(ctx context.Context, c *Call) *api.Error

// Filter returns a Handler that wraps next, the rest of the pipeline.
type Filter func(next Handler) Handler

// Chain returns a Handler that runs the filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
