// Package keyedlog follows partitions of a log that keeps the newest record of
// each key. A Follower replays one partition into a state and knows how fresh
// that state is.
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
	Value  []byte // nil: the key is dropped
}

// Page is what one read returned.
type Page struct {
	Records []Record // in the order of their offsets
	End     int64    // the offset that the next append will get
}

// Reader reads one partition.
type Reader interface {
	// Read returns records from offset from on. With none there it waits up to
	// wait for the first. It fails with TrimmedError if from is no longer kept.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns newest records by key, those after the key after. With
	// more set, the last key continues. Pages are not a snapshot.
	Newest(ctx context.Context, after string) (page Page, more bool, err error)
}

// AnyOffset as the expected end of a partition asks for no certain one.
const AnyOffset int64 = -1

// Partition is one partition that may also be written.
type Partition interface {
	Reader
	// Append stores records in one piece if the partition ends at offset at;
	// with Anywhere, wherever it ends. It returns the first one's offset.
	// It fails with ConflictError if it ends elsewhere, with NotDone if it was
	// refused, and with Unavailable if it may have been done or may yet be.
	Append(ctx context.Context, at int64, records []Record) (int64, error)
}

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("keyedlog")

var (
	// Unavailable says that a call was not answered; an append may have been
	// done, or may yet be done while its condition holds.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// NotDone says that a call was refused and has no effect.
	NotDone = Errors.NewType("not_done", errorx.Temporary())
)

// TrimmedError says that the offset asked for is no longer kept.
type TrimmedError struct {
	First int64 // the oldest offset kept
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("the offset is no longer kept, the oldest is %d", e.First)
}

// ConflictError says that a partition ends at another offset than expected.
type ConflictError struct {
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at %d", e.End)
}
