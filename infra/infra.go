// Package infra declares what the system uses of the platform it runs on:
// an append-only log with offsets, a list of instances and a weight store.
// Implementations live elsewhere; see standin/platform for the test one.
package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Offset is the position of a record in its stream. The first record has
// offset 1; offsets rise by one with every record.
type Offset uint64

// Record is one stored entry of a stream.
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
	// settles that by reading on for id.
	Append(ctx context.Context, stream, id string, data []byte) (Offset, error)
	// Read returns up to limit records from offset from on, in order. With
	// none there it waits up to wait for the first. It fails with
	// ExpiredError if from lies before the oldest record kept.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the oldest offset kept and the offset that the next
	// append will get. They are equal in an empty stream.
	Bounds(ctx context.Context, stream string) (oldest, next Offset, err error)
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("infra")

// Unavailable says that the service could not be reached or did not answer.
var Unavailable = Errors.NewType("unavailable", errorx.Temporary())

// ExpiredError says that the offset asked for is no longer kept.
type ExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset // the oldest offset still kept
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has expired, oldest kept is %d", e.Stream, e.From, e.Oldest)
}

// Role says what an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// InstanceState is the platform's word on an instance.
type InstanceState string

// The states of a listed instance. An instance that is gone is not listed.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one row of the platform's list. The id is never used again
// after the instance is gone. The list lags in both directions.
type Instance struct {
	ID         string        `json:"id"`
	Role       Role          `json:"role"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
	HTTPAddr   string        `json:"http_addr"`            // ip:port for callers or for entries
	RPCAddr    string        `json:"rpc_addr"`             // ip:port for peers
	Deployment string        `json:"deployment,omitempty"` // of the endpoint beside a sidecar
}

// Instances is the platform's instance list.
type Instances interface {
	// List returns all live and leaving instances.
	List(ctx context.Context) ([]Instance, error)
}

// Weights is the platform's weight store. Engines load from it themselves;
// the system only needs to know how fast it may be asked.
type Weights interface {
	// LoadsPerMinute returns how many loads the store admits in a minute.
	LoadsPerMinute(ctx context.Context) (int, error)
}
