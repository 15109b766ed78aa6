package sidecar

import (
	"context"

	"dandelionrelay/api"
)

// BatchSource gives batch items and takes their results. Its methods may fail
// at any time; after a failed Report the owner may or may not have the
// results, and they are reported again.
type BatchSource interface {
	// Pull waits up to args.Wait for items and returns at most args.Slots.
	Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error)
	// Report hands over results and says what still runs.
	Report(ctx context.Context, args api.ReportArgs) (api.ReportReply, error)
}
