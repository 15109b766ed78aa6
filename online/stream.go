package online

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/eventstream"
	"dandelionrelay/placement"
	"dandelionrelay/upstream"
)

// relayBody relays a response that is not an event stream, or an error response. The
// request may be sent to another endpoint instead after status 500 or above.
func (ex *execution) relayBody(ctx context.Context, x *upstream.Exchange) (nextStep, placement.Result) {
	r := x.Response
	body, err := x.ReadAll(ex.call.Deadline)
	if err != nil {
		if ctx.Err() != nil {
			return abort, placement.Aborted
		}
		return ex.afterEndpointLoss(err), placement.Failed
	}
	result := placement.Done
	if r.StatusCode >= http.StatusInternalServerError && r.StatusCode != http.StatusGatewayTimeout {
		result = placement.ErrorResponse
	}
	if r.StatusCode >= http.StatusInternalServerError && ex.mayRetry() {
		ex.cause = errorx.ExternalError.New("endpoint responded with status %d", r.StatusCode)
		return tryNext, result
	}
	if ex.response.headerSent() {
		// The header of the stream is sent, so the caller can't be sent an error
		// status; the stream ends incomplete.
		ex.cause = errorx.ExternalError.New("endpoint responded with status %d when resuming the stream", r.StatusCode)
		return abort, result
	}
	if err := ex.response.writeBody(r, body); err != nil {
		ex.cause = err
	}
	return responseComplete, result
}

// relayEvents relays the events of a stream, except those that the caller was already
// sent. Incomplete events are dropped.
func (ex *execution) relayEvents(ctx context.Context, x *upstream.Exchange) (nextStep, placement.Result) {
	x.StreamBody()
	reader := eventstream.NewReader(x.Response.Body)
	relayed := 0
	for {
		e, err := ex.nextEvent(x, reader, relayed)
		if err == io.EOF && relayed > 0 {
			x.Finish()
			return responseComplete, placement.Done
		}
		if err != nil {
			x.Close()
			return ex.afterStreamError(ctx, err)
		}
		ex.watch.heard(true)
		if !e.HasID {
			x.Close()
			return ex.afterEndpointLoss(errorx.IllegalState.New("event without an ID in the stream")), placement.Failed
		}
		if ex.response.cursor.IsDuplicate(e) {
			continue
		}
		if ex.response.cursor.HasGap(e) {
			x.Close()
			return ex.afterEndpointLoss(errorx.IllegalState.New("event stream has a gap: event %d follows event %d", e.ID, ex.response.cursor.LastID)), placement.Failed
		}
		ex.recordOrigin()
		if err := ex.response.writeEvent(x.Response, e); err != nil {
			x.Close()
			ex.cause = err
			return abort, placement.Aborted
		}
		relayed++
		ex.recordEvent()
		ex.intervals.Observe()
	}
}

// nextEvent reads one event. While the request may still be moved to another
// endpoint, the timeout is short enough to leave time for that.
func (ex *execution) nextEvent(x *upstream.Exchange, reader *eventstream.Reader, relayed int) (eventstream.Event, error) {
	timeout := ex.firstEventTimeout()
	if relayed > 0 {
		timeout = ex.gapTimeout()
	}
	x.SetReadDeadline(ex.waitDeadline(timeout))
	return reader.Next()
}

// gapTimeout returns the timeout for the next event of a stream. 0 means until the
// deadline, as no other endpoint may continue the stream.
func (ex *execution) gapTimeout() time.Duration {
	if !ex.mayRetry() || ex.route.GapGoal == 0 || !ex.Table.Serves(ex.placementRequest()) {
		return 0
	}
	return time.Duration(gapTimeoutShare * float64(ex.route.GapGoal))
}

// afterStreamError returns the next step after a stream that ended before it was
// complete.
func (ex *execution) afterStreamError(ctx context.Context, err error) (nextStep, placement.Result) {
	if ctx.Err() != nil || time.Until(ex.call.Deadline) < minRemaining {
		ex.cause = err
		return abort, placement.Aborted
	}
	return ex.afterEndpointLoss(err), placement.Failed
}
