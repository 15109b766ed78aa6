package upstream

import (
	"net/http"

	"github.com/rs/zerolog"
)

// StrayKind says why a response does not belong to the request that was sent. Its values are
// label values of relay_stray_responses_total.
type StrayKind string

// The kinds of stray responses.
const (
	StrayOther   StrayKind = "other"   // it names another request
	StrayUnnamed StrayKind = "unnamed" // it names no request
)

// StrayKinds returns all kinds.
func StrayKinds() []StrayKind { return []StrayKind{StrayOther, StrayUnnamed} }

// Stray is a response that came where the response to a request was expected.
type Stray struct {
	Kind         StrayKind
	Addr         string // of the endpoint
	Request      string // ID of the request that was sent
	Echoed       string // ID that the response names; empty: none
	Status       int
	ConnRequests int // number of requests sent on the connection, this one included
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s Stray) MarshalZerologObject(e *zerolog.Event) {
	e.Str("kind", string(s.Kind)).Str("addr", s.Addr).Str("request", s.Request).Str("echoed", s.Echoed).
		Int("status", s.Status).Int("conn_requests", s.ConnRequests)
}

// reportStray reports a response to r that is stray.
func (x *Exchange) reportStray(r *Request, response *http.Response, kind StrayKind) {
	if x.pool.OnStray == nil {
		return
	}
	x.pool.OnStray(Stray{
		Kind: kind, Addr: x.conn.addr, Request: r.ID, Echoed: response.Header.Get(x.pool.idHeader),
		Status: response.StatusCode, ConnRequests: x.conn.requests,
	})
}

// ConnRequests returns the number of requests sent on the connection, this one included.
func (x *Exchange) ConnRequests() int { return x.conn.requests }

// LogNotRun logs that an endpoint states that it has not run a request. A statement on a
// connection that was used before may be an earlier one, written once more.
func LogNotRun(log zerolog.Logger, request, endpoint string, x *Exchange) {
	log.Info().Str("request", request).Str("endpoint", endpoint).Int("status", x.Response.StatusCode).
		Int("conn_requests", x.ConnRequests()).Msg("endpoint states that it has not run the request")
}
