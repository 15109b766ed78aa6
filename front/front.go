// Package front converts HTTP requests of callers into pipeline calls, buffers
// their bodies, and writes the responses of calls that fail.
package front

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/ingress"
	"dandelionrelay/pipeline"
)

// BodyTimeout is the maximum time for a caller to send a body that is buffered.
const BodyTimeout = 30 * time.Second

// Handler is the http.Handler that runs a pipeline.
type Handler struct {
	handle  pipeline.Handler
	source  config.Source
	maxBody func() int64 // bytes; nil: the pipeline reads the body itself
	log     zerolog.Logger
	metrics *Metrics
}

// New returns a Handler that passes calls to handle and rejects bodies that are longer
// than maxBody returns, in bytes. If maxBody is nil the pipeline reads the body itself.
func New(handle pipeline.Handler, source config.Source, maxBody func() int64, log zerolog.Logger, m *Metrics) *Handler {
	return &Handler{handle: handle, source: source, maxBody: maxBody, log: log, metrics: m}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.Header)
	w.Header().Set(api.HeaderRequestID, id)
	c := &pipeline.Call{W: w, R: r, ID: id, Received: time.Now()}
	err := h.readBody(c)
	if err == nil {
		c.Received = time.Now()
		h.observeStream(c)
		c.Snapshot = h.source.Current()
		err = h.run(h.withTracedID(r.Context(), id), c)
		pipeline.ClearWriteDeadline(w)
	}
	h.finish(c, err)
}

// withTracedID adds the request ID to ctx if this process logs requests, so that
// the peers that are called for the request log the ID too. Otherwise the ID is
// not sent to them.
func (h *Handler) withTracedID(ctx context.Context, id string) context.Context {
	if max(h.log.GetLevel(), zerolog.GlobalLevel()) > zerolog.DebugLevel {
		return ctx
	}
	return pipeline.WithRequestID(ctx, id)
}

// streamedBytes is the memory for which a body counts that the pipeline reads itself.
const streamedBytes = 1 << 20

// readBody reads the whole body into c.Body. It fails if the body is longer than maxBody
// returns, or takes longer than BodyTimeout. If the pipeline reads the body itself, it only
// makes room for that.
func (h *Handler) readBody(c *pipeline.Call) *api.Error {
	if h.maxBody == nil {
		var err error
		c.R.Body, err = ingress.Stream(c.R, streamedBytes)
		return ingress.BodyError(err)
	}
	control := http.NewResponseController(c.W)
	// The error is ignored: response recorders in tests don't support deadlines,
	// all real connections do.
	_ = control.SetReadDeadline(c.Received.Add(BodyTimeout))
	body, err := ingress.ReadBody(c.W, c.R, h.maxBody())
	_ = control.SetReadDeadline(time.Time{})
	if refusal := ingress.BodyError(err); refusal != nil {
		return refusal
	}
	if err != nil {
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the body could not be read in time")
	}
	c.Body = body
	return nil
}

// codeIncomplete is the code label of responses that were aborted after their
// first byte.
const codeIncomplete api.Code = "answer_cut"

var errIncomplete = &api.Error{Code: codeIncomplete, Outcome: api.Unknown}

// observeStream wraps the ResponseWriter to measure the events of streamed
// responses. Pipelines that read the body themselves do not stream events.
func (h *Handler) observeStream(c *pipeline.Call) {
	if h.maxBody != nil {
		c.W = &streamWriter{ResponseWriter: c.W, call: c, metrics: h.metrics}
	}
}

// run calls the pipeline. It converts a panic into an internal error of this call,
// except http.ErrAbortHandler, which it counts and passes on.
func (h *Handler) run(ctx context.Context, c *pipeline.Call) (err *api.Error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p == http.ErrAbortHandler {
			h.metrics.recordRequest(c, errIncomplete, time.Since(c.Received))
			h.log.Debug().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).Msg("response aborted before it was complete")
			panic(p)
		}
		h.logPanic(c.ID, p)
		err = api.NewError(http.StatusInternalServerError, api.CodeInternal, "internal error").WithOutcome(api.Unknown)
	}()
	return h.handle(ctx, c)
}

// finish records the metrics of the call. If err is not nil, it writes the error
// response, or panics with http.ErrAbortHandler if the response has started.
func (h *Handler) finish(c *pipeline.Call, err *api.Error) {
	took := time.Since(c.Received)
	h.metrics.recordRequest(c, err, took)
	event := h.log.Debug().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).Dur("took_ms", took)
	if err == nil {
		event.Msg("request answered")
		return
	}
	event.Str("code", string(err.Code)).Str("outcome", string(err.Outcome)).Msg("request refused or failed")
	if c.ResponseStarted {
		// The response may have begun and can't be replaced. Aborting the
		// connection shows the caller that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	err.RequestID = c.ID
	api.WriteError(c.W, err)
}
