package ingress

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/pipeline"
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
	b := pipeline.NewBufferedResponse()
	write(b)
	response := &http.Response{
		StatusCode: b.Status, ProtoMajor: 1, ProtoMinor: 1, Header: b.Header(), Close: true,
		Body: io.NopCloser(&b.Body), ContentLength: int64(b.Body.Len()),
	}
	var raw bytes.Buffer
	_ = response.Write(&raw) // a Buffer takes everything
	return raw.Bytes()
}
