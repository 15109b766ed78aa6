package online

import (
	"context"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
)

// place reserves a slot, or a place in the queue, at the next endpoint. It returns
// the error for the caller if the request can't be sent to any endpoint.
func (ex *execution) place(ctx context.Context) (*placement.Grant, *api.Error) {
	remaining := time.Until(ex.call.Deadline)
	if ctx.Err() != nil || remaining < minRemaining {
		return nil, ex.failure()
	}
	if !ex.ConfigFresh(ex.call) {
		return nil, ex.configStale()
	}
	if ex.mayHaveRun > 0 && ex.heldBack() {
		return nil, ex.failure()
	}
	maxWait := MaxWait(ex.route)
	if ex.mayHaveRun > 0 {
		// The request may have run already, so a late response is better than none.
		maxWait = remaining
	}
	grant, refused := ex.placeWithin(maxWait)
	for refused != nil && ex.moveToNextDeployment(refused) {
		grant, refused = ex.placeWithin(maxWait)
	}
	ex.refusal = refused
	if refused != nil {
		return nil, ex.refusalError(refused)
	}
	ex.endpoint, ex.load = grant.Endpoint, grant.Load
	if grant.Load.Online+grant.Load.Batch >= grant.Endpoint.Slots {
		ex.Table.PreemptBatch()
	}
	return grant, nil
}

// heldBack reports whether the request may be sent to no further endpoint, as those that ran
// it crashed or may have.
func (ex *execution) heldBack() bool {
	v := quarantine.VerdictOnCall(ex.Suspects, ex.call)
	return v == quarantine.Quarantined || v == quarantine.Held
}

// placeWithin reserves a slot, or a place in the queue, at an endpoint of the call's deployment
// where the request is expected to wait for no longer than maxWait.
func (ex *execution) placeWithin(maxWait time.Duration) (*placement.Grant, *placement.Refusal) {
	request := ex.placementRequest()
	request.MaxWait = maxWait
	return ex.Table.Place(ex.Clock(), request)
}

// moveToNextDeployment makes the next deployment of a split route that of the call, if none of
// the endpoints of the present one takes the request. It returns false if the request waits
// for that deployment, if there is no other one or if the response has begun.
func (ex *execution) moveToNextDeployment(refused *placement.Refusal) bool {
	c := ex.call
	waits := refused.Endpoint != "" || refused.Limited || refused.Cold
	if waits || len(c.NextDeployments) == 0 || ex.version() != "" || ex.response.headerSent() {
		return false
	}
	ex.Log.Info().Str("request", c.ID).Str("route", c.RouteID).Str("deployment", c.Route.Deployment).Str("next_deployment", c.NextDeployments[0]).
		Msg("no endpoint of the deployment takes the request; the next one of the split is tried")
	c.Route.Deployment, c.NextDeployments = c.NextDeployments[0], c.NextDeployments[1:]
	return true
}

// refusalError returns the error for the caller of a request that the table has refused.
func (ex *execution) refusalError(refused *placement.Refusal) *api.Error {
	if ex.mayHaveRun > 0 {
		return ex.failure()
	}
	return RefusalError(refused, ex.versionGone)
}

// placementRequest returns the request for the table, without MaxWait.
func (ex *execution) placementRequest() placement.Request {
	return placement.Request{
		Deployment: ex.call.Route.Deployment,
		Version:    ex.version(),
		Avoid:      ex.tried,
		Homes:      ex.homes,
		AtMostOnce: !ex.route.Resumable && !ex.call.Route.Idempotent,
	}
}
