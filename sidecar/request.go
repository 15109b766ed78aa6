package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/ingress"
)

// defaultDeadline is the time to the deadline of requests that carry none.
const defaultDeadline = time.Minute

// request is a request to the endpoint: an online request of an entry, a batch
// item or a health check.
type request struct {
	ID          string
	Attempt     string
	Customer    string // empty on a route without authentication
	Idempotent  bool
	Retryable   bool // the same attempt may be sent to the endpoint more than once
	Received    time.Time
	Deadline    time.Time
	Method      string
	Path        string // including the query
	Header      http.Header
	Body        []byte
	arrivalLoad arrivalLoad
}

// readRequest reads a request of an entry, including its body. now is the time
// at which it was received.
func (s *Sidecar) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *api.Error) {
	req := &request{
		ID:         r.Header.Get(api.HeaderRequestID),
		Attempt:    r.Header.Get(api.HeaderAttemptID),
		Customer:   r.Header.Get(api.HeaderCustomer),
		Idempotent: r.Header.Get(api.HeaderIdempotent) == "1",
		Received:   now,
		Deadline:   now.Add(defaultDeadline),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Header:     r.Header,
	}
	if req.Attempt == "" {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "no attempt id")
	}
	if d := r.Header.Get(api.HeaderDeployment); d != "" && d != s.settings.Deployment {
		return nil, api.NewError(http.StatusMisdirectedRequest, api.CodeNoEndpoint, "endpoint belongs to another deployment")
	}
	if v := r.Header.Get(api.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "malformed deadline")
		}
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	body, err := ingress.ReadBody(w, r, s.settings.MaxBodyBytes)
	if refusal := ingress.BodyError(err); refusal != nil {
		return nil, refusal
	}
	if err != nil {
		return nil, api.NewError(http.StatusBadRequest, api.CodeBadRequest, "request body is cut short")
	}
	req.Body = body
	return req, nil
}

// actualCost returns the cost of the request in tokens, given the number of
// tokens of its response. It is 0, for unknown, if tokens is 0.
func (r *request) actualCost(tokens int) float64 {
	if tokens == 0 {
		return 0
	}
	return float64(len(r.Body)/tokenBytes + tokens)
}
