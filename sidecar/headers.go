package sidecar

import (
	"net/http"
	"strings"
)

// headerRequestID is the header that carries the request ID to endpoints.
const headerRequestID = "X-Request-Id"

// forwardedHeaders lists the request headers that are forwarded to endpoints.
// All others are dropped, so neither credentials nor internal headers (Relay-*)
// reach an endpoint.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
	"Traceparent",
}

// hopByHopHeaders lists the response headers that are not forwarded to entries,
// as they apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endpointHeader returns the headers of the call of req to the endpoint.
func endpointHeader(req *request) http.Header {
	h := make(http.Header, len(forwardedHeaders)+2)
	for _, name := range forwardedHeaders {
		if v := req.Header[name]; len(v) > 0 {
			h[name] = v
		}
	}
	h.Set(headerRequestID, req.ID)
	h["User-Agent"] = nil // keeps net/http from adding its own
	return h
}

// copyResponseHeader copies the headers of an endpoint's response to dst, except
// for internal headers (Relay-*) and hop-by-hop headers.
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
