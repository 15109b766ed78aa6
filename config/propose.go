package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"dandelionrelay/platform"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("config")

// Undecided says that the log did not answer in time: the change may or may
// not take effect. Its id tells later, in the audit trail.
var Undecided = Errors.NewType("undecided", errorx.Temporary())

// NewChange returns the record of the change from the state at version base,
// whose hash is given, to next.
func NewChange(base uint64, from *State, hash Hash, next *State, operator string, now time.Time) Record {
	delta := Diff(from, next)
	_, after := from.Apply(delta, hash)
	return Record{
		Kind:     KindChange,
		ID:       uuid.NewString(),
		Operator: operator,
		Time:     now,
		Base:     base,
		Version:  base + 1,
		Hash:     after,
		Delta:    delta,
	}
}

// Append appends rec to the log. After an Unavailable error it may be stored
// or not; appending the same record again is harmless.
func Append(ctx context.Context, log platform.Log, rec Record) (platform.Offset, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return 0, Errors.NewType("unencodable").Wrap(err, "record %s", rec.ID)
	}
	return log.Append(ctx, Stream, rec.ID, b)
}
