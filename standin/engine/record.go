package engine

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
)

// maxRecorded is the maximum number of requests that are kept.
const maxRecorded = 1 << 14

// Request is one request as the engine received it.
type Request struct {
	ID     string // X-Request-Id
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

type recorder struct {
	requests []Request
	runs     map[string]int // number of requests by X-Request-Id
}

func (e *Engine) recordRequest(r *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	e.record.runs[id]++
	if len(e.record.requests) == maxRecorded {
		e.record.requests = e.record.requests[1:]
	}
	e.record.requests = append(e.record.requests, Request{
		ID:     id,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Header: r.Header.Clone(),
		Body:   body,
	})
}

// Requests returns the requests received, the oldest first. Only the last 16,384 are
// kept.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record.requests)
}

// Runs returns the number of requests received with that X-Request-Id.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.runs[id]
}

// Received reports whether secret occurs in a header value, the query or the body of
// any request that is kept.
func (e *Engine) Received(secret string) bool {
	for _, r := range e.Requests() {
		if strings.Contains(r.Query, secret) || bytes.Contains(r.Body, []byte(secret)) {
			return true
		}
		for _, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), secret) {
				return true
			}
		}
	}
	return false
}
