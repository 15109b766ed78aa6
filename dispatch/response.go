package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/invariant"
)

const (
	maxErrorBytes    = 64 << 10 // largest error body read from a sidecar
	maxBufferedBytes = 1 << 20  // responses below this size are buffered whole before they are sent
	eventStreamType  = "text/event-stream"
)

// allowedResponseHeaders are the only headers of an endpoint's response that are
// sent to the caller.
var allowedResponseHeaders = []string{
	"Accept-Ranges", "Cache-Control", "Content-Encoding", "Content-Language", "Content-Range",
	"Content-Type", "Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// exchange sends the request of one attempt and relays the response to the caller.
// It returns nil once the caller has the complete response.
func (f *forwarder) exchange(ctx context.Context, a *attempt) *attemptFailure {
	body, err := f.body()
	if err != nil {
		return &attemptFailure{err: api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed body")}
	}
	r := a.request(ctx, f.call, body)
	if f.suspect {
		r.Header.Set(api.HeaderSuspect, "1")
	}
	if !f.hasNoCredentials(r, body) {
		return &attemptFailure{err: credentialError()}
	}
	resp, err := f.dispatcher.transport.RoundTrip(r)
	if err != nil {
		return a.connectionFailure(ctx)
	}
	defer resp.Body.Close()
	f.dispatcher.recordEndpointState(a.endpoint.ID, resp.Header)
	if !a.matches(resp) {
		f.dispatcher.metrics.responsesDropped.Inc()
		return &attemptFailure{err: endpointLostError(api.Unknown), retryable: true}
	}
	f.dispatcher.detector.RecordProgress(a.endpoint.ID, time.Now())
	if e := sidecarError(resp); e != nil {
		return sidecarFailure(e)
	}
	f.dispatcher.invariants.Check(resp.Header.Get(api.HeaderAttemptID) == a.id, invariant.AnswerMatchesRequest,
		"call %s received the response to attempt %s", f.call.ID, resp.Header.Get(api.HeaderAttemptID))
	return f.relay(ctx, a, resp)
}

// hasNoCredentials reports whether r and body are free of the caller's
// credentials.
func (f *forwarder) hasNoCredentials(r *http.Request, body []byte) bool {
	keys := authn.Credentials(f.call.R.Header)
	if len(keys) == 0 {
		keys = []string{""}
	}
	for _, key := range keys {
		if !authn.CheckNoCredentials(f.dispatcher.invariants, key, r, body) {
			return false
		}
	}
	return true
}

func credentialError() *api.Error {
	return api.NewError(http.StatusInternalServerError, api.CodeInternal, "the request holds a credential")
}

// matches reports whether resp is the response to this attempt.
func (a *attempt) matches(resp *http.Response) bool {
	return resp.Header.Get(api.HeaderAttemptID) == a.id
}

// sidecarError returns the error that the sidecar itself responded with, or nil if
// the response is the endpoint's.
func sidecarError(resp *http.Response) *api.Error {
	outcome := api.Outcome(resp.Header.Get(api.HeaderOutcome))
	if outcome != api.NotRun && outcome != api.Unknown {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := api.ReadError(resp.StatusCode, resp.Header, body)
	if e == nil {
		return endpointLostError(outcome)
	}
	return e.WithOutcome(outcome)
}

// sidecarFailure returns the failure of an attempt to which the sidecar itself
// responded with e.
func sidecarFailure(e *api.Error) *attemptFailure {
	switch e.Code {
	case api.CodeEndpointLost:
		return &attemptFailure{err: e, retryable: true, endpointFailed: true, mayHaveCrashed: e.Outcome == api.Unknown}
	case api.CodeNoEndpoint, api.CodeEvacuated:
		// The sidecar is leaving or has no configuration yet, or it knows of an
		// evacuation of which this entry does not know yet. Marking the
		// endpoint as failed keeps further calls away until a probe succeeds,
		// so that they don't use up the retry budget.
		return &attemptFailure{err: e, retryable: true, endpointFailed: true}
	case api.CodeOverloaded, api.CodeVersionGone:
		return &attemptFailure{err: e, retryable: true}
	}
	return &attemptFailure{err: e}
}

// relay sends the endpoint's response to the caller: a stream event by event, any
// other response whole or, from maxBufferedBytes on, as it arrives.
func (f *forwarder) relay(ctx context.Context, a *attempt, resp *http.Response) *attemptFailure {
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
	if stream && resp.StatusCode == http.StatusOK {
		return f.relayEvents(ctx, a, resp)
	}
	if f.call.ResponseStarted { // only a stream can continue a stream
		return &attemptFailure{err: endpointLostError(api.Unknown), retryable: true}
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return a.connectionFailure(ctx)
	}
	if len(content) < maxBufferedBytes {
		f.dispatcher.detector.RecordAlive(a.endpoint.ID, time.Now())
	}
	f.writeHeader(resp, len(content) < maxBufferedBytes)
	if _, err := f.call.W.Write(content); err != nil {
		return &attemptFailure{err: callerLeftError(api.Unknown)}
	}
	if len(content) < maxBufferedBytes {
		return nil
	}
	return f.relayRest(ctx, a, resp.Body)
}

// relayRest sends what follows the first maxBufferedBytes of a large response.
func (f *forwarder) relayRest(ctx context.Context, a *attempt, body io.Reader) *attemptFailure {
	in := &progressReader{source: body, onProgress: func() { f.dispatcher.detector.RecordProgress(a.endpoint.ID, time.Now()) }}
	if _, err := io.Copy(f.call.W, in); err != nil {
		if in.err == nil {
			return &attemptFailure{err: callerLeftError(api.Unknown)}
		}
		return a.connectionFailure(ctx)
	}
	return nil
}

// progressReader calls onProgress after each read that returned data, and keeps
// the error of its source, so that it can be told from an error of the caller's
// connection.
type progressReader struct {
	source     io.Reader
	onProgress func()
	err        error // other than io.EOF
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	if n > 0 {
		p.onProgress()
	}
	if err != nil && err != io.EOF {
		p.err = err
	}
	return n, err
}

// writeHeader sends the status and the allowed headers of resp to the caller.
// complete says that the whole body was received; the outcome header then says
// that the call is done.
func (f *forwarder) writeHeader(resp *http.Response, complete bool) {
	h := f.call.W.Header()
	for _, name := range allowedResponseHeaders {
		if v := resp.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(api.HeaderRequestID, f.call.ID)
	if v := resp.Header.Get(api.HeaderEndpointVersion); v != "" {
		h.Set(api.HeaderEndpointVersion, v)
	}
	if complete {
		h.Set(api.HeaderOutcome, string(api.Done))
	}
	f.call.BesideBatch = resp.Header.Get(api.HeaderBesideBatch) == "1"
	f.call.W.WriteHeader(resp.StatusCode)
	f.call.ResponseStarted = true
}
