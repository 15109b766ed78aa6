package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/placement"
)

// startItem starts an item if a slot is free, or fails it if it may not run any
// more. It returns false if the item continues to wait. See placeItem for full.
func (r *runner) startItem(ctx context.Context, snapshot *config.Snapshot, it runnableItem, full map[slotKey]bool) bool {
	route, ok := snapshot.State.Routes[it.job.Route]
	if !ok || route.Provided == nil || route.Provided.Batch == nil {
		return r.failItem(it, "its route is gone")
	}
	if time.Since(it.job.Submitted) > route.Provided.Batch.Retain+failGrace {
		return r.failItem(it, "it is too old")
	}
	itemCtx, cancel := context.WithCancel(ctx)
	request := placement.Request{
		Avoid: it.avoid.avoidSet(r.Clock()),
		Homes: snapshot.Homes(route, it.job.Customer),
		Item:  it.times,
	}
	grant := r.placeItem(it, route, request, full, cancel)
	if grant == nil {
		cancel()
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

// placeItem reserves a slot for an item at a deployment of its route, or returns nil if none
// is free. An item with output goes on where that was written if it can. Any other item
// prefers a deployment, by the weights of the route, and takes a slot of another one if none
// is free there. full holds the slotKeys without a free slot; placeItem adds to it.
func (r *runner) placeItem(it runnableItem, route config.Route, request placement.Request, full map[slotKey]bool, preempt func()) *placement.Grant {
	id := it.job.Items[it.id.item].ID
	order := route.DeploymentOrder(func(deployment string) float64 { return membership.UnitScore(id, deployment) })
	if it.origin.Version != "" && slices.Contains(order, it.origin.Deployment) {
		request.Deployment, request.Version = it.origin.Deployment, it.origin.Version
		grant := r.placeAt(request, full, preempt)
		if grant != nil || !r.versionMissing(it, request) {
			return grant
		}
		request.Version = ""
	}
	for _, deployment := range order {
		request.Deployment = deployment
		if grant := r.placeAt(request, full, preempt); grant != nil {
			return grant
		}
	}
	return nil
}

// placeAt reserves a slot for an item at the deployment of request, or returns nil if none is
// free. It adds the slotKey to full then, unless the item avoids an endpoint or a version,
// where others may find a slot.
func (r *runner) placeAt(request placement.Request, full map[slotKey]bool, preempt func()) *placement.Grant {
	key := newSlotKey(request.Deployment, request.Homes)
	if full[key] {
		return nil
	}
	grant := r.Table.PlaceBatch(r.Clock(), request, preempt)
	if grant == nil {
		full[key] = len(request.Avoid) == 0 && request.Version == ""
	}
	return grant
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
		Msg("batch item begins again at another software version or deployment")
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
