// Package keyedlog follows partitions of a compacted log, which retains the newest
// record of each key. A Follower replays one partition into a State and tracks how
// fresh that State is.
package keyedlog

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Record is one record of a partition.
type Record struct {
	Offset int64
	Key    string
	Value  []byte // nil: the key is deleted
}

// Page is the result of one read.
type Page struct {
	Records []Record // in the order of their offsets
	End     int64    // the offset that the next append will get
}

// Reader reads one partition.
type Reader interface {
	// Read returns the records at offset from and after it. If there are none, it
	// waits up to wait for the first. It fails with TrimmedError if from is no
	// longer retained.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key, sorted by key, beginning after
	// the key after. If more is set, the next page begins after the last key
	// returned. Successive pages are not a consistent snapshot.
	Newest(ctx context.Context, after string) (page Page, more bool, err error)
}

// AnyOffset, passed to Append, makes the append independent of the offset at which the
// partition ends.
const AnyOffset int64 = -1

// Partition is a partition that can be read and appended to.
type Partition interface {
	Reader
	// Append atomically appends records if the partition ends at offset at or at
	// is AnyOffset. It returns the offset of the first record. It fails with
	// ConflictError if the partition ends at another offset, with NotDone if the
	// append was refused, and with Unavailable if it may have taken effect or may
	// still take effect.
	Append(ctx context.Context, at int64, records []Record) (int64, error)
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("keyedlog")

var (
	// Unavailable is the type of errors for calls that got no response. An append may
	// have taken effect, or may still take effect while its condition on the offset
	// holds.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// NotDone is the type of errors for calls that were refused and have no effect.
	NotDone = Errors.NewType("not_done", errorx.Temporary())
)

// TrimmedError reports that the requested offset is no longer retained.
type TrimmedError struct {
	First int64 // the oldest offset retained
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("keyedlog: offset no longer retained, oldest retained offset is %d", e.First)
}

// ConflictError reports that a partition ends at another offset than the append
// expected.
type ConflictError struct {
	End int64 // the offset at which the partition ends
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("keyedlog: append conflict, the partition ends at offset %d", e.End)
}
