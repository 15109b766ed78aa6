package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/placement"
)

// RequestMetadata is sent to an endpoint in the header, in addition to the caller's
// request.
type RequestMetadata struct {
	Request   string        // ID of the request; empty: the caller's header has it already
	Endpoint  string        // ID of the endpoint that is to run the request
	Customer  string        // empty if the caller gave no known key
	Remaining time.Duration // time left for the response; 0: not sent
	Resume    bool          // continue after the event LastEvent
	LastEvent int64         // ID of an event; not sent unless Resume is set
}

// Dialect maps the metadata of requests and responses to the header fields that the
// endpoints use.
type Dialect interface {
	// Write sets the fields for m in the header of a request.
	Write(h http.Header, m RequestMetadata)
	// NotRun reports whether the endpoint states that it has not run the request
	// and never will.
	NotRun(r *http.Response) bool
	// Misdirected reports whether the request reached an endpoint other than
	// RequestMetadata.Endpoint, which has taken over its address, or one that does not meet a
	// condition of the request; see Conditional.
	Misdirected(r *http.Response) bool
	// Conditional reports whether the header of a request names a condition of its sender,
	// so that a Misdirected response says nothing about the endpoint.
	Conditional(h http.Header) bool
	// Notice returns what the endpoint says of itself in a response. A malformed field is
	// returned as an error, and the notice is as without it; Notice.Cold says that it is
	// malformed.
	Notice(r *http.Response) (placement.Notice, error)
	// Signed reports whether the response carries the endpoint's signature.
	Signed(r *http.Response) bool
}

// StatesNotRun reports whether the endpoint states that it has not run the request. A statement
// beside a status that says otherwise is not one.
func StatesNotRun(d Dialect, r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return d.NotRun(r)
	}
	return false
}

// PromisesNotRun reports whether callers take a status for the promise that the request has
// not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEndHeader returns a copy of h without the hop-by-hop fields, including those
// that are listed in Connection.
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

// HeaderFor returns the header of a request to an endpoint: the caller's header
// without Authorization, Host, Content-Length and the hop-by-hop fields, and the fields for m.
func HeaderFor(sent http.Header, d Dialect, m RequestMetadata) http.Header {
	h := EndToEndHeader(sent)
	h.Del("Authorization")
	h.Del("Host")
	h.Del("Content-Length")
	d.Write(h, m)
	return h
}

// Observe applies what an endpoint says of itself in the response to a request under
// grant, received at now by the entry's clock. Responses of another endpoint at its address
// are ignored.
func Observe(d Dialect, r *http.Response, grant *placement.Grant, now time.Duration, log zerolog.Logger) {
	if d.Misdirected(r) {
		return
	}
	n, err := d.Notice(r)
	if err != nil {
		log.Warn().Err(err).Str("endpoint", grant.Endpoint.ID).Msg("malformed notice of an endpoint ignored")
	}
	change := grant.Observe(now, n)
	if change.Leaving {
		log.Info().Str("endpoint", grant.Endpoint.ID).Int64("born", grant.Endpoint.StartMs).Msg("endpoint says that it is leaving")
	}
	if change.Cold {
		LogCold(log, placement.ColdChange{Endpoint: grant.Endpoint, Cold: n.Cold.Malformed || n.Cold.Left > 0,
			Left: n.Cold.Left, Source: placement.ColdResponse, Malformed: n.Cold.Malformed})
	}
	if change.Limit {
		log.Info().Str("endpoint", grant.Endpoint.ID).Bool("limited", n.Limited).Float64("limit", n.Limit).
			Float64("own_part", grant.LimitShare()).Msg("limit of an endpoint changed")
	}
}

// LogCold logs that an endpoint has become cold or is no longer cold.
func LogCold(log zerolog.Logger, c placement.ColdChange) {
	event := log.Info().Str("endpoint", c.Endpoint.ID).Int64("born", c.Endpoint.StartMs).Stringer("source", c.Source)
	if !c.Cold {
		event.Msg("endpoint is no longer cold")
		return
	}
	event.Dur("left_ms", c.Left).Bool("malformed", c.Malformed).Msg("endpoint has become cold")
}
