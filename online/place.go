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
	if ex.mayHaveRun > 0 && quarantine.Blocked(ex.Suspects, ex.call) {
		return nil, ex.failure()
	}
	maxWait := MaxWait(ex.route)
	if ex.mayHaveRun > 0 {
		// The request may have run already, so a late response is better than none.
		maxWait = remaining
	}
	request := ex.placementRequest()
	request.MaxWait = maxWait
	grant, refused := ex.Table.Place(ex.Clock(), request)
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
