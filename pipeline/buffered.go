package pipeline

import (
	"bytes"
	"net/http"
)

// BufferedResponse is an http.ResponseWriter that keeps the response.
type BufferedResponse struct {
	Status int // 200 until WriteHeader
	Body   bytes.Buffer
	header http.Header
}

// NewBufferedResponse returns an empty BufferedResponse.
func NewBufferedResponse() *BufferedResponse {
	return &BufferedResponse{Status: http.StatusOK, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (b *BufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *BufferedResponse) WriteHeader(status int) { b.Status = status }

// Write implements http.ResponseWriter.
func (b *BufferedResponse) Write(p []byte) (int, error) { return b.Body.Write(p) }
