package streams

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/placement"
	"dandelionrelay/upstream"
)

// Header fields of the stand-in's dialect.
const (
	HeaderID        = "X-Request"
	HeaderNotRun    = "X-Not-Run"
	HeaderSigned    = "X-Vouched"
	HeaderEndpoint  = "X-Endpoint"
	HeaderCustomer  = "X-Customer"
	HeaderRemaining = "X-Remaining-Ms"
	HeaderLimit     = "X-Limit"
	HeaderLeaving   = "X-Leaving"
	HeaderCold      = "X-Cold-Ms"
	HeaderVersion   = "X-Version" // expected by the sender of a request
)

// Dialect implements upstream.Dialect with the header fields above.
type Dialect struct{}

// Write implements upstream.Dialect.
func (Dialect) Write(h http.Header, m upstream.RequestMetadata) {
	if m.Request != "" {
		h.Set(HeaderID, m.Request)
	}
	h.Set(HeaderEndpoint, m.Endpoint)
	h.Set(HeaderCustomer, m.Customer)
	h.Set(HeaderRemaining, strconv.FormatInt(m.Remaining.Milliseconds(), 10))
	if m.Resume {
		h.Set("Last-Event-Id", strconv.FormatInt(m.LastEvent, 10))
	}
}

// NotRun implements upstream.Dialect.
func (Dialect) NotRun(r *http.Response) bool { return r.Header.Get(HeaderNotRun) != "" }

// Misdirected implements upstream.Dialect.
func (Dialect) Misdirected(r *http.Response) bool {
	return r.StatusCode == http.StatusMisdirectedRequest
}

// Conditional implements upstream.Dialect.
func (Dialect) Conditional(h http.Header) bool { return h.Get(HeaderVersion) != "" }

// Notice implements upstream.Dialect.
func (Dialect) Notice(r *http.Response) (placement.Notice, error) {
	limit, err := strconv.ParseFloat(r.Header.Get(HeaderLimit), 64)
	n := placement.Notice{Limited: err == nil, Limit: limit, Leaving: r.Header.Get(HeaderLeaving) != ""}
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderCold), 10, 64); err == nil {
		n.Cold = placement.ColdNotice{Given: true, Left: time.Duration(ms) * time.Millisecond}
	}
	return n, nil
}

// Signed implements upstream.Dialect.
func (Dialect) Signed(r *http.Response) bool { return r.Header.Get(HeaderSigned) != "" }
