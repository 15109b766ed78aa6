package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/ingress"
	"dandelionrelay/pipeline"
)

// HeaderIdempotencyKey is the header with the caller's idempotency key for a
// submission.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxDocumentBytes bounds the JSON document that creates a job.
const maxDocumentBytes = 64 << 10

// outputPrefix followed by the ID of a job is the ID of its output file.
const outputPrefix = "output-"

type customerKey struct{}

// WithCustomer returns a context for requests that a customer makes to the
// Handler.
func WithCustomer(ctx context.Context, customer string) context.Context {
	return context.WithValue(ctx, customerKey{}, customer)
}

func customerOf(r *http.Request) string {
	customer, _ := r.Context().Value(customerKey{}).(string)
	return customer
}

// Handler serves the files and batches API to customers. The context of each
// request must hold the authenticated customer: see WithCustomer.
type Handler struct {
	service *Service
	mux     *http.ServeMux
}

// handlerFunc handles a request of a customer, or returns the error to be sent.
type handlerFunc func(w http.ResponseWriter, r *http.Request, customer string) *api.Error

// NewHandler returns the Handler of a service.
func NewHandler(s *Service) *Handler {
	h := &Handler{service: s, mux: http.NewServeMux()}
	h.handle("POST /v1/files", h.postFile)
	h.handle("GET /v1/files/{id}", h.getFile)
	h.handle("GET /v1/files/{id}/content", h.getContent)
	h.handle("POST /v1/batches", h.postBatch)
	h.handle("GET /v1/batches", h.listBatches)
	h.handle("GET /v1/batches/{id}", h.getBatch)
	h.handle("GET /v1/batches/{id}/results", h.getResults)
	h.handle("POST /v1/batches/{id}/cancel", h.cancelBatch)
	h.handle("DELETE /v1/batches/{id}", h.deleteBatch)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) handle(pattern string, f handlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		customer := customerOf(r)
		if customer == "" {
			api.WriteError(w, api.NewError(http.StatusUnauthorized, api.CodeNoKey, "batch jobs need a key"))
			return
		}
		if e := f(w, r, customer); e != nil {
			e.RequestID = w.Header().Get(api.HeaderRequestID)
			api.WriteError(w, e)
		}
	})
}

func (h *Handler) postFile(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	body, name, e := fileBody(r)
	if e != nil {
		return e
	}
	f, _, e := h.service.Accept(r.Context(), &Submission{
		Customer: customer,
		Key:      r.Header.Get(HeaderIdempotencyKey),
		Name:     name,
		Body:     body,
	})
	if e != nil {
		return e
	}
	api.WriteJSON(w, http.StatusOK, newFileDocument(f))
	return nil
}

// fileBody returns the content and the name of the uploaded file. The request
// body is the file itself or a multipart form with the fields purpose and file,
// in this order.
func fileBody(r *http.Request) (io.Reader, string, *api.Error) {
	media, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if media != "multipart/form-data" {
		return r.Body, "", nil
	}
	form, err := r.MultipartReader()
	if err != nil {
		return nil, "", badRequest("the form could not be read: " + err.Error())
	}
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return nil, "", badRequest("the form has no field file")
		}
		if refusal := ingress.BodyError(err); refusal != nil {
			return nil, "", refusal
		}
		if err != nil {
			return nil, "", badRequest("the form could not be read: " + err.Error())
		}
		switch part.FormName() {
		case "file":
			return part, part.FileName(), nil
		case "purpose":
			purpose, _ := io.ReadAll(io.LimitReader(part, 64))
			if string(purpose) != "batch" {
				return nil, "", badRequest("purpose must be batch")
			}
		}
	}
}

func (h *Handler) getFile(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	f, err := h.service.File(r.Context(), customer, r.PathValue("id"))
	if err != nil {
		return stateUnavailable()
	}
	if f.ID == "" {
		return fileNotFound(r.PathValue("id"))
	}
	api.WriteJSON(w, http.StatusOK, newFileDocument(f))
	return nil
}

// jobRequest is the JSON document that creates a job.
type jobRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (h *Handler) postBatch(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	key := r.Header.Get(HeaderIdempotencyKey)
	media, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if media == "application/jsonl" || media == "application/x-ndjson" {
		return h.postLines(w, r, customer, key)
	}
	var in jobRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&in)
	if refusal := ingress.BodyError(err); refusal != nil {
		return refusal
	}
	if err != nil {
		return badRequest("the body is not a batch document: " + err.Error())
	}
	params := &JobParams{Endpoint: in.Endpoint, Window: in.CompletionWindow, Metadata: in.Metadata}
	v, e := h.service.Submit(r.Context(), customer, key, in.InputFileID, params)
	if e != nil {
		return e
	}
	api.WriteJSON(w, http.StatusOK, newJobDocument(v))
	return nil
}

// postLines creates a job whose items are the lines of the request body.
func (h *Handler) postLines(w http.ResponseWriter, r *http.Request, customer, key string) *api.Error {
	query := r.URL.Query()
	_, v, e := h.service.Accept(r.Context(), &Submission{
		Customer: customer,
		Key:      key,
		Body:     r.Body,
		Job:      &JobParams{Endpoint: query.Get("endpoint"), Window: query.Get("completion_window")},
	})
	if e != nil {
		return e
	}
	api.WriteJSON(w, http.StatusOK, newJobDocument(v))
	return nil
}

func (h *Handler) listBatches(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	views, err := h.service.List(r.Context(), customer)
	if err != nil {
		return stateUnavailable()
	}
	api.WriteJSON(w, http.StatusOK, newListDocument(views))
	return nil
}

func (h *Handler) getBatch(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	v, e := h.findJob(r, customer)
	if e != nil {
		return e
	}
	api.WriteJSON(w, http.StatusOK, newJobDocument(v))
	return nil
}

// findJob returns the job with the ID in the path of a request.
func (h *Handler) findJob(r *http.Request, customer string) (View, *api.Error) {
	id := r.PathValue("id")
	v, err := h.service.Get(r.Context(), customer, id)
	if err != nil {
		return v, stateUnavailable()
	}
	if v.ID == "" || v.Status == StatusDeleted {
		return v, api.NewError(http.StatusNotFound, api.CodeNotFound, "no such batch: "+id)
	}
	return v, nil
}

func (h *Handler) cancelBatch(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	return h.endJob(w, r, customer, factCancel)
}

func (h *Handler) deleteBatch(w http.ResponseWriter, r *http.Request, customer string) *api.Error {
	return h.endJob(w, r, customer, factDelete)
}

// endJob cancels or deletes a job and responds once that is durable.
func (h *Handler) endJob(w http.ResponseWriter, r *http.Request, customer string, kind factKind) *api.Error {
	v, e := h.findJob(r, customer)
	if e != nil {
		return e
	}
	offset, e := h.service.appendEnd(r.Context(), v.ID, kind)
	if e != nil {
		return e
	}
	// If the owner can be reached, it replays the fact before the caller gets the response.
	after, err := h.service.get(r.Context(), GetArgs{Customer: customer, ID: v.ID, After: offset, Request: pipeline.RequestID(r.Context())})
	if kind == factDelete {
		api.WriteJSON(w, http.StatusOK, deletedDocument{ID: v.ID, Object: "batch", Deleted: true})
		return nil
	}
	if err == nil && after.Status != "" {
		v = after
	}
	api.WriteJSON(w, http.StatusOK, newJobDocument(v))
	return nil
}

// appendEnd appends a cancel or a delete of a job and returns its offset.
func (s *Service) appendEnd(ctx context.Context, id string, kind factKind) (infra.Offset, *api.Error) {
	n, _ := partitionOf(jobPrefix, id)
	a, err := newAppender(ctx, s.opts.Log, streamName(n))
	if err != nil {
		return 0, logUnavailable()
	}
	offset, outcome := a.append(ctx, s.nextNonce(), encodeFacts([]fact{{Kind: kind, Job: id}}))
	switch outcome {
	case api.Done:
		return offset, nil
	case api.NotRun:
		return 0, logUnavailable()
	default:
		return 0, api.NewError(http.StatusServiceUnavailable, api.CodeLogDown,
			"the log did not confirm: send the request again").
			WithOutcome(api.Unknown).WithRetryAfter(logRetryAfter)
	}
}

func badRequest(message string) *api.Error {
	return api.NewError(http.StatusBadRequest, api.CodeBadRequest, message)
}

// ownerRetryAfter is the Retry-After sent to callers while a partition is taken
// over.
const ownerRetryAfter = 2 * time.Second

func stateUnavailable() *api.Error {
	return api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "the job's state can't be read now").
		WithRetryAfter(ownerRetryAfter)
}
