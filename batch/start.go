package batch

import (
	"context"
	"fmt"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
)

// startItem starts an item if a slot is free, or fails it if it may not run any
// more. It returns false if the item continues to wait. If no endpoint of the
// deployment in the homes of the item has a free slot, it sets their slotKey in
// full, unless the item avoids an endpoint or a version, where others may find a
// slot.
func (r *runner) startItem(ctx context.Context, snapshot *config.Snapshot, it runnableItem, full map[slotKey]bool) bool {
	route, ok := snapshot.State.Routes[it.job.Route]
	if !ok || route.Provided == nil || route.Provided.Batch == nil {
		return r.failItem(it, "its route is gone")
	}
	if time.Since(it.job.Submitted) > route.Provided.Batch.Retain+failGrace {
		return r.failItem(it, "it is too old")
	}
	homes := snapshot.Homes(route, it.job.Customer)
	key := newSlotKey(route.Deployment, homes)
	if full[key] {
		return false
	}
	itemCtx, cancel := context.WithCancel(ctx)
	request := placement.Request{
		Deployment: route.Deployment,
		Avoid:      it.avoid.avoidSet(r.Clock()),
		Homes:      homes,
		Item:       it.times,
	}
	if it.origin.Deployment == route.Deployment {
		request.Version = it.origin.Version
	}
	grant := r.Table.PlaceBatch(r.Clock(), request, cancel)
	if grant == nil && r.versionMissing(it, request) {
		request.Version = ""
		grant = r.Table.PlaceBatch(r.Clock(), request, cancel)
	}
	if grant == nil {
		cancel()
		full[key] = len(request.Avoid) == 0 && request.Version == ""
		return false
	}
	if grant.Endpoint.Origin() != it.origin {
		r.beginAgain(it, grant)
	}
	it.missingSince = 0
	r.mu.Lock()
	it.phase = phaseRunning
	it.cancel = cancel
	r.mu.Unlock()
	r.recordStart(it, grant)
	go r.runItem(itemCtx, cancel, it, route, grant)
	return true
}

// slotKey identifies the endpoints at which an item may run, as far as its deployment and
// homes go.
type slotKey struct {
	deployment string
	homes      string // empty: any region
}

func newSlotKey(deployment string, homes []locality.Homes) slotKey {
	key := slotKey{deployment: deployment}
	if len(homes) > 0 {
		key.homes = fmt.Sprintf("%q", homes)
	}
	return key
}

// maxVersionWait is how long an item with output waits for a slot at an endpoint of the
// version that wrote it, before it begins again at any other.
const maxVersionWait = time.Second

// versionMissing reports whether an item with output, for which no slot is free at an
// endpoint of the version that wrote it, is to begin again where one is. It notes since when
// none is.
func (r *runner) versionMissing(it runnableItem, request placement.Request) bool {
	if request.Version == "" {
		return false
	}
	now := r.Clock()
	if it.missingSince == 0 {
		it.missingSince = now
	}
	request.Avoid = nil
	return now-it.missingSince >= maxVersionWait || !r.Table.ServesBatch(request)
}

// beginAgain discards the output of an item, if it has any, that runs at an endpoint of
// another version or deployment next.
func (r *runner) beginAgain(it runnableItem, grant *placement.Grant) {
	if it.events == 0 {
		return
	}
	r.Log.Info().Str("job", it.job.ID).Str("request", it.job.Items[it.id.item].ID).Str("deployment", it.origin.Deployment).Str("version", it.origin.Version).
		Int("events", it.events).Str("endpoint", grant.Endpoint.ID).Str("next_deployment", grant.Endpoint.Deployment).Str("next_version", grant.Endpoint.Version).
		Msg("batch item begins again at another software version")
	it.reset()
}

// failItem finishes an item as errored, with a reason. It returns true.
func (r *runner) failItem(it runnableItem, reason string) bool {
	r.mu.Lock()
	it.phase = phaseFinished
	it.result = Result{State: Errored, Reason: reason}
	r.mu.Unlock()
	r.Log.Warn().Str("job", it.job.ID).Str("item", it.job.Items[it.id.item].ID).Str("reason", reason).Msg("batch item marked as errored")
	signal(r.finished)
	return true
}
