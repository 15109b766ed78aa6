package jobs

import (
	"context"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// Limits of one append, including the search for a record whose response was lost.
const (
	maxAppendAttempts = 4
	appendTimeout     = 5 * time.Second
)

// appender appends to one stream. If the response to an append is lost, it looks
// for the record in the stream.
type appender struct {
	log        infra.Log
	stream     string
	searchFrom infra.Offset // all records appended later have this offset or a greater one
}

// newAppender returns an appender that searches from the current end of the
// stream.
func newAppender(ctx context.Context, log infra.Log, stream string) (*appender, error) {
	_, next, err := log.Bounds(ctx, stream)
	if err != nil {
		return nil, err
	}
	return &appender{log: log, stream: stream, searchFrom: next}, nil
}

// append stores data under id and returns its offset. If the response is lost it
// searches the stream for id and appends again if it is not there: duplicates of
// the records of this package are harmless. The outcome is Done or Unknown; with
// Unknown the record may be stored, now or later.
func (a *appender) append(ctx context.Context, id string, data []byte) (infra.Offset, api.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	outcome := api.Outcome(api.NotRun)
	for range maxAppendAttempts {
		offset, err := a.log.Append(ctx, a.stream, id, data)
		if err == nil {
			a.searchFrom = offset + 1
			return offset, api.Done
		}
		outcome = api.Unknown
		if offset, ok := a.findRecord(ctx, id); ok {
			return offset, api.Done
		}
		if !sleep.For(ctx, logRetryDelay) {
			break
		}
	}
	return 0, outcome
}

// findRecord searches the stream from searchFrom for the record with that ID.
func (a *appender) findRecord(ctx context.Context, id string) (infra.Offset, bool) {
	for from := a.searchFrom; ; {
		records, err := a.log.Read(ctx, a.stream, from, maxReadRecords, 0)
		if err != nil || len(records) == 0 {
			return 0, false
		}
		for _, r := range records {
			if r.ID == id {
				a.searchFrom = r.Offset + 1
				return r.Offset, true
			}
			from = r.Offset + 1
		}
	}
}
