// Package infra declares the interfaces of the platform that the system runs
// on: an append-only log with offsets, a list of instances and a weight store.
// Package infra/client implements them over HTTP, package standin/platform in
// memory.
package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Offset is the position of a record in its stream. The first record has
// offset 1; each further one has the next offset.
type Offset uint64

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	ID     string    `json:"id"` // chosen by the appender, unique per append
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Log is the platform's append-only log service. All methods may fail with
// Unavailable at any time.
type Log interface {
	// Append stores data at the end of stream and returns its offset. After
	// an Unavailable error the record may or may not be stored: the caller
	// finds out by reading the records appended since and looking for id.
	Append(ctx context.Context, stream, id string, data []byte) (Offset, error)
	// Read returns up to limit records in order, starting at offset from. If
	// there are none it waits up to wait for the first. It fails with
	// ExpiredError if from is lower than the oldest offset kept.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the oldest offset kept and the offset that the next
	// append will get. They are equal in an empty stream.
	Bounds(ctx context.Context, stream string) (oldest, next Offset, err error)
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("infra")

// Unavailable is the type of errors of a service that could not be reached or
// did not respond.
var Unavailable = Errors.NewType("unavailable", errorx.Temporary())

// ExpiredError is returned when the requested offset is no longer kept.
type ExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset // the oldest offset still kept
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has expired, oldest kept is %d", e.Stream, e.From, e.Oldest)
}

// Role is the kind of process that an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// The states of a listed instance. An instance that has ended is not listed.
const (
	Live    InstanceState = "live"    // running
	Leaving InstanceState = "leaving" // shutting down
)

// Instance is one item of the platform's instance list. Its ID is never used
// again after the instance has ended. The list may lack an instance that runs
// already, and may hold one that has ended.
type Instance struct {
	ID         string        `json:"id"`
	Role       Role          `json:"role"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
	HTTPAddr   string        `json:"http_addr"`            // ip:port; for callers at an entry, for entries at a sidecar
	RPCAddr    string        `json:"rpc_addr"`             // ip:port for peers
	Deployment string        `json:"deployment,omitempty"` // of the endpoint beside a sidecar
}

// Instances is the platform's instance list.
type Instances interface {
	// List returns all live and leaving instances.
	List(ctx context.Context) ([]Instance, error)
}

// Weights is the platform's store of model weights. Engines load from it
// directly; the system only needs to know the rate of loads that it admits.
type Weights interface {
	// LoadsPerMinute returns the number of loads that the store admits per
	// minute.
	LoadsPerMinute(ctx context.Context) (int, error)
}
