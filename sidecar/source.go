package sidecar

import (
	"context"

	"dandelionrelay/api"
)

// BatchSource provides batch items and accepts their results. Its methods may
// fail at any time. After a failed Report the owners may or may not have
// recorded the results, and the sidecar reports them again.
type BatchSource interface {
	// Pull waits up to args.Wait for items and returns at most args.Slots.
	Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error)
	// Report delivers args.Results and the list args.Running of the items that are
	// still in flight. The reply lists the items to cancel, also with an error.
	Report(ctx context.Context, args api.ReportArgs) (api.ReportReply, error)
}
