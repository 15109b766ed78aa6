package ingress

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"dandelionrelay/api"
)

// retryAfter is the Retry-After of a request that is refused for ReasonMemory.
const retryAfter = time.Second

// errorOverloaded is the response to a request that is refused for ReasonMemory.
func errorOverloaded() *api.Error {
	return api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "too many requests are being received").WithRetryAfter(retryAfter)
}

// headTooLarge is the response to a request whose head is too large.
var headTooLarge = rawResponse(func(w http.ResponseWriter) {
	http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
})

// rawResponse returns the bytes of the response that write writes, which closes the connection.
func rawResponse(write func(http.ResponseWriter)) []byte {
	r := &recorder{header: make(http.Header)}
	write(r)
	response := &http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header, Close: true,
		Body: io.NopCloser(&r.body), ContentLength: int64(r.body.Len()),
	}
	var raw bytes.Buffer
	_ = response.Write(&raw) // a Buffer takes everything
	return raw.Bytes()
}

// recorder is an http.ResponseWriter that keeps the response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
