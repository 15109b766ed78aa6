// Package order sends a model engine its orders: which model and version to
// load. Only the sidecar beside an engine sends it orders, one at a time.
//
// Each order is announced by a record in one stream of the platform's log. The
// offset of the record is the fencing token of the order, and the records before
// it determine when the order may be sent, so that all engines together load
// from the weight store at no more than the rate that it admits.
package order

import (
	"context"

	"github.com/joomcode/errorx"
)

// Stream is the log stream of announcements.
const Stream = "orders"

// KindLoad is the kind of an order to load a model.
const KindLoad = "load"

// Order names the model version that an engine has to load. The Client sends it as JSON.
type Order struct {
	Fence   uint64 `json:"fence"` // fencing token: offset of the announcement
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// State is what an engine reports about itself.
type State struct {
	Fence   uint64 `json:"fence"` // fencing token of the last order that the engine accepted
	Model   string `json:"model"`
	Version string `json:"version"`
	Loading *Order `json:"loading,omitempty"` // the order being loaded, if any
}

// Target is what an engine should serve.
type Target struct {
	Model   string
	Version string // empty: any
}

// servedBy reports whether an engine in state s serves t.
func (t Target) servedBy(s State) bool {
	return s.Model == t.Model && (t.Version == "" || s.Version == t.Version)
}

// Announcement is the data of a record of Stream: it announces one order.
type Announcement struct {
	Endpoint string `json:"endpoint"` // instance ID of the sidecar
	Model    string `json:"model"`
	Version  string `json:"version"`
}

// Engine is a model engine that accepts orders.
type Engine interface {
	// State returns what the engine serves and loads.
	State(ctx context.Context) (State, error)
	// Order sends an order. A Refused error means that the engine has accepted a
	// later one; after any other error the engine may have accepted o.
	Order(ctx context.Context, o Order) error
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("order")

// Refused is the type of the error that the engine has accepted an order with a
// higher fencing token.
var Refused = Errors.NewType("refused")
