// Package order gives a model engine its orders: which model and version to
// load. Only the sidecar beside an engine gives it orders, one at a time.
//
// Each order is announced by a record in one stream of the platform's log. The
// record's offset is the order's fencing number, and the records before it
// say when the order may be sent, so that all engines together load from the
// weight store no faster than it admits.
package order

import (
	"context"

	"github.com/joomcode/errorx"
)

// Stream is the log stream of announcements.
const Stream = "orders"

// KindLoad is the kind of an order to load a model.
const KindLoad = "load"

// Order tells an engine what to load.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// State is what an engine says of itself.
type State struct {
	Fence   uint64 `json:"fence"` // of the last order taken
	Model   string `json:"model"`
	Version string `json:"version"`
	Loading *Order `json:"loading,omitempty"` // under way
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

// Announcement is the data of a record of Stream.
type Announcement struct {
	Endpoint string `json:"endpoint"` // instance id of the sidecar
	Model    string `json:"model"`
	Version  string `json:"version"`
}

// Engine is an engine that takes orders.
type Engine interface {
	// State reads back what the engine serves and loads.
	State(ctx context.Context) (State, error)
	// Order gives an order. A Refused error says that the engine has taken a
	// later one; after any other error the engine may have taken it.
	Order(ctx context.Context, o Order) error
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("order")

// Refused says that the engine has taken an order with a higher number.
var Refused = Errors.NewType("refused")
