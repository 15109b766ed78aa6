package sidecar

import (
	"net/http"
	"strings"
)

// headerRequestID carries the request id to endpoints.
const headerRequestID = "X-Request-Id"

// forwarded are the request headers that endpoints get. No other reaches
// them, so neither a credential nor a header of the system does.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
	"Traceparent",
}

// withheld are the answer headers that entries don't get: those that concern
// one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endpointHeader returns the headers for the endpoint.
func endpointHeader(req *request) http.Header {
	h := make(http.Header, len(forwardedHeaders)+2)
	for _, name := range forwardedHeaders {
		if v := req.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(headerRequestID, req.ID)
	h["User-Agent"] = nil // the library adds none
	return h
}

// copyAnswerHeader copies the headers of an endpoint's answer to dst.
func copyResponseHeader(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Relay-") {
			continue
		}
		dst[name] = values
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}
