package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// RequestMetadata is what the system tells an endpoint beside the caller's request.
type RequestMetadata struct {
	Request   string        // the request's id; empty: it stands in the header
	Endpoint  string        // the id of the endpoint that is meant
	Customer  string        // empty on open routes
	Remaining time.Duration // how long the answer is of use; 0: not said
	Resume    bool          // continue after event LastEvent
	LastEvent int64
}

// Dialect knows the header names of requests to endpoints and of their
// answers.
type Dialect interface {
	// Write sets o in the header of a request.
	Write(h http.Header, o RequestMetadata)
	// NotRun reports whether the endpoint says that it has not run the request
	// and never will.
	NotRun(r *http.Response) bool
	// Elsewhere reports whether another endpoint has the address.
	Elsewhere(r *http.Response) bool
	// Vouched reports whether the endpoint vouches for the answer.
	Vouched(r *http.Response) bool
}

// hopByHopHeaders concern one connection only and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEndHeader returns a copy of h without what concerns one connection only.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// HeaderFor returns the header of a request to an endpoint: what the caller
// sent, without its key and what concerns one connection, and o.
func HeaderFor(sent http.Header, d Dialect, o RequestMetadata) http.Header {
	h := EndToEndHeader(sent)
	h.Del("Authorization")
	h.Del("Content-Length")
	d.Write(h, o)
	return h
}
