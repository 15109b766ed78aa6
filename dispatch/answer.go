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
	maxErrorBytes = 64 << 10 // largest error body read from a sidecar
	maxWholeBytes = 1 << 20  // largest answer held back until it is whole
	eventStream   = "text/event-stream"
)

// returnedHeaders are the only headers of an endpoint that reach the caller.
var returnedHeaders = []string{
	"Accept-Ranges", "Cache-Control", "Content-Encoding", "Content-Language", "Content-Range",
	"Content-Type", "Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// exchange sends the call and passes the answer on. It returns nil once the
// caller has the whole answer.
func (y *delivery) exchange(ctx context.Context, a *attempt) *end {
	body, err := y.body()
	if err != nil {
		return &end{err: api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed body")}
	}
	r := a.request(ctx, y.c, body)
	if y.suspect {
		r.Header.Set(api.HeaderSuspect, "1")
	}
	if !y.clean(r, body) {
		return &end{err: unsafeError()}
	}
	resp, err := y.d.transport.RoundTrip(r)
	if err != nil {
		return a.lost(ctx)
	}
	defer resp.Body.Close()
	y.d.learn(a.endpoint.ID, resp.Header)
	if !a.matches(resp) {
		y.d.metrics.dropped.Inc()
		return &end{err: lostError(api.Unknown), repeat: true}
	}
	y.d.detector.RecordProgress(a.endpoint.ID, time.Now())
	if e := vouched(resp); e != nil {
		return refused(e)
	}
	y.d.checks.Check(resp.Header.Get(api.HeaderAttemptID) == a.id, invariant.AnswerMatchesRequest,
		"call %s gets the answer to attempt %s", y.c.ID, resp.Header.Get(api.HeaderAttemptID))
	return y.relay(ctx, a, resp)
}

// clean says that no credential of the caller is in r.
func (y *delivery) clean(r *http.Request, body []byte) bool {
	keys := authn.Credentials(y.c.R.Header)
	if len(keys) == 0 {
		keys = []string{""}
	}
	for _, key := range keys {
		if !authn.CheckNoCredentials(y.d.checks, key, r, body) {
			return false
		}
	}
	return true
}

func unsafeError() *api.Error {
	return api.NewError(http.StatusInternalServerError, api.CodeInternal, "the request holds a credential")
}

// matches says that resp answers this attempt and no other.
func (a *attempt) matches(resp *http.Response) bool {
	return resp.Header.Get(api.HeaderAttemptID) == a.id
}

// vouched returns the error that the sidecar itself answered with, or nil if
// the answer is the endpoint's.
func vouched(resp *http.Response) *api.Error {
	outcome := api.Outcome(resp.Header.Get(api.HeaderOutcome))
	if outcome != api.NotRun && outcome != api.Unknown {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := api.ReadError(resp.StatusCode, resp.Header, body)
	if e == nil {
		return lostError(outcome)
	}
	return e.WithOutcome(outcome)
}

// refused is the end of an attempt that the sidecar answered itself.
func refused(e *api.Error) *end {
	switch e.Code {
	case api.CodeEndpointLost:
		return &end{err: e, repeat: true, failed: true, broken: e.Outcome == api.Unknown}
	case api.CodeNoEndpoint:
		// It is leaving or has no configuration yet: nothing more goes there
		// until a probe is answered well, so that repeats are not spent on it.
		return &end{err: e, repeat: true, failed: true}
	case api.CodeOverloaded:
		return &end{err: e, repeat: true}
	}
	return &end{err: e}
}

// relay passes the endpoint's answer on: events one by one, other answers
// whole, or in pieces if they are large.
func (y *delivery) relay(ctx context.Context, a *attempt, resp *http.Response) *end {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return y.relayEvents(ctx, a, resp)
	}
	if y.c.ResponseStarted { // a resumed stream must be a stream
		return &end{err: lostError(api.Unknown), repeat: true}
	}
	whole, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes))
	if err != nil {
		return a.lost(ctx)
	}
	if len(whole) < maxWholeBytes {
		y.d.detector.RecordAlive(a.endpoint.ID, time.Now())
	}
	y.start(resp, len(whole) < maxWholeBytes)
	if _, err := y.c.W.Write(whole); err != nil {
		return &end{err: goneError(api.Unknown)}
	}
	if len(whole) < maxWholeBytes {
		return nil
	}
	return y.relayRest(ctx, a, resp.Body)
}

// relayRest passes on what follows the first piece of a large answer.
func (y *delivery) relayRest(ctx context.Context, a *attempt, body io.Reader) *end {
	in := &progressReader{r: body, progress: func() { y.d.detector.RecordProgress(a.endpoint.ID, time.Now()) }}
	if _, err := io.Copy(y.c.W, in); err != nil {
		if in.err == nil {
			return &end{err: goneError(api.Unknown)}
		}
		return a.lost(ctx)
	}
	return nil
}

// progressReader tells of each read and keeps the error of the source.
type progressReader struct {
	r        io.Reader
	progress func()
	err      error // other than io.EOF
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.progress()
	}
	if err != nil && err != io.EOF {
		p.err = err
	}
	return n, err
}

// start sends the head of the answer to the caller.
func (y *delivery) start(resp *http.Response, whole bool) {
	h := y.c.W.Header()
	for _, name := range returnedHeaders {
		if v := resp.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(api.HeaderRequestID, y.c.ID)
	if whole {
		h.Set(api.HeaderOutcome, string(api.Done))
	}
	y.c.BesideBatch = resp.Header.Get(api.HeaderBesideBatch) == "1"
	y.c.W.WriteHeader(resp.StatusCode)
	y.c.ResponseStarted = true
}
