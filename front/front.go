// Package front turns HTTP requests of callers into pipeline calls and
// answers the errors that come back. It is the only place that reads callers'
// bodies.
package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/pipeline"
)

// BodyTimeout is the time within which a caller must have sent its body.
const BodyTimeout = 30 * time.Second

// Handler is an http.Handler before a pipeline.
type Handler struct {
	handle  pipeline.Handler
	source  config.Source
	maxBody int64 // bytes; 0: the pipeline reads the body itself
	log     zerolog.Logger
	metrics *Metrics
}

// New returns a Front that hands calls to handle and refuses bodies of more
// than maxBody bytes. With maxBody 0 the pipeline reads the body itself.
func New(handle pipeline.Handler, source config.Source, maxBody int64, log zerolog.Logger, m *Metrics) *Handler {
	return &Handler{handle: handle, source: source, maxBody: maxBody, log: log, metrics: m}
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.Header)
	w.Header().Set(api.HeaderRequestID, id)
	c := &pipeline.Call{W: w, R: r, ID: id, Received: time.Now()}
	err := f.readBody(c)
	if err == nil {
		c.Received = time.Now()
		f.watch(c)
		c.Snapshot = f.source.Current()
		err = f.run(f.trace(r.Context(), id), c)
	}
	f.finish(c, err)
}

// trace has the peers asked for a request log its id, if this process logs
// requests. Without it the id is not sent to them.
func (f *Handler) trace(ctx context.Context, id string) context.Context {
	if f.log.GetLevel() > zerolog.DebugLevel {
		return ctx
	}
	return pipeline.WithRequestID(ctx, id)
}

// readBody reads the whole body, bounded in size and time.
func (f *Handler) readBody(c *pipeline.Call) *api.Error {
	if f.maxBody == 0 {
		return nil
	}
	control := http.NewResponseController(c.W)
	// Recorders in tests know no deadlines; real connections all do.
	_ = control.SetReadDeadline(c.Received.Add(BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.W, c.R.Body, f.maxBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "the body exceeds the limit of this service")
	case err != nil:
		return api.NewError(http.StatusBadRequest, api.CodeBadRequest, "the body could not be read in time")
	}
	c.Body = body
	return nil
}

// codeCut counts answers that ended with an error after their first byte.
const codeCut api.Code = "answer_cut"

var errCut = &api.Error{Code: codeCut, Outcome: api.Unknown}

// watch observes the events of an answer that is a stream. Answers of a
// pipeline that reads the body itself are none.
func (f *Handler) watch(c *pipeline.Call) {
	if f.maxBody > 0 {
		c.W = &watchedWriter{ResponseWriter: c.W, call: c, metrics: f.metrics}
	}
}

// run calls the pipeline. A panic there fails this call only.
func (f *Handler) run(ctx context.Context, c *pipeline.Call) (err *api.Error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p == http.ErrAbortHandler {
			f.metrics.finished(c, errCut, time.Since(c.Received))
			f.log.Debug().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).Msg("answer was cut")
			panic(p)
		}
		f.logPanic(c.ID, p)
		err = api.NewError(http.StatusInternalServerError, api.CodeInternal, "internal error").WithOutcome(api.Unknown)
	}()
	return f.handle(ctx, c)
}

// finish answers err, if any, and accounts for the call.
func (f *Handler) finish(c *pipeline.Call, err *api.Error) {
	took := time.Since(c.Received)
	f.metrics.finished(c, err, took)
	event := f.log.Debug().Str("request", c.ID).Str("customer", c.Customer).Str("route", c.RouteID).Dur("took_ms", took)
	if err == nil {
		event.Msg("request answered")
		return
	}
	event.Str("code", string(err.Code)).Str("outcome", string(err.Outcome)).Msg("request refused or failed")
	if c.ResponseStarted {
		// The answer is under way and can't be changed any more: the caller
		// must see that it is not whole.
		panic(http.ErrAbortHandler)
	}
	err.RequestID = c.ID
	api.WriteError(c.W, err)
}
