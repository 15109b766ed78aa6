// Package api holds the messages that cross process boundaries: the typed
// outcome of a request, the error body that callers see, the headers between
// entry, sidecar and endpoint, the RPC messages for batch items, and the
// chat-completions documents.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // it ran and the response is complete
	NotRun  Outcome = "not_run" // it certainly did not start at an endpoint
	Unknown Outcome = "unknown" // it may have run
)

// Lane is the priority class of a request.
type Lane string

// The lanes, highest priority first.
const (
	Online Lane = "online"
	Batch  Lane = "batch"
)

// Headers between entry and sidecar, and on responses to callers.
const (
	HeaderRequestID  = "Relay-Request-Id"
	HeaderAttemptID  = "Relay-Attempt-Id"
	HeaderCustomer   = "Relay-Customer"
	HeaderDeployment = "Relay-Deployment"
	HeaderDeadline   = "Relay-Deadline-Ms" // time left, in milliseconds
	HeaderOutcome    = "Relay-Outcome"
	HeaderQueueWait  = "Relay-Queue-Wait-Ms" // estimated wait of a new online request, in milliseconds
	HeaderLeaving    = "Relay-Leaving"       // "1": the endpoint is draining; send it no new requests
	HeaderIdempotent = "Relay-Idempotent"    // "1": the request may be run more than once
	HeaderSuspect    = "Relay-Suspect"       // "1": an endpoint crashed running the request; run it alone
	HeaderCrash      = "Relay-Crash"         // the Crash of the attempt, in responses to probes
	// HeaderEndpointVersion is the version of the endpoint's software, in responses; not
	// sent if the sidecar's settings name none.
	HeaderEndpointVersion = "Relay-Endpoint-Version"

	// HeaderCold is the time for which the endpoint remains cold, in milliseconds, in its
	// responses; 0: it is not cold. Endpoints that are never cold need not send it.
	HeaderCold = "Relay-Cold-Ms"

	// HeaderBesideBatch is "1" on a response if batch items ran at the endpoint
	// when the request arrived.
	HeaderBesideBatch = "Relay-Beside-Batch"
)

// Crash says how an endpoint crashed with an attempt in flight, as its sidecar
// observed it.
type Crash string

// The kinds of crashes.
const (
	NoCrash         Crash = ""       // the endpoint did not crash with the attempt in flight
	CrashWithOthers Crash = "beside" // other attempts were in flight
	CrashAlone      Crash = "alone"  // the endpoint ran nothing else
	// CrashLost is recorded by entries when the sidecar is lost too, so that it
	// is not known what else was in flight.
	CrashLost Crash = "lost"
)

// Code is the machine-readable reason for a refusal or failure.
type Code string

// The codes of errors sent to callers.
const (
	CodeBadRequest   Code = "bad_request"
	CodeTooLarge     Code = "request_too_large"
	CodeNoKey        Code = "key_missing"
	CodeBadKey       Code = "key_invalid"
	CodeKeyInQuery   Code = "key_in_query"
	CodeConfigStale  Code = "config_stale"
	CodeForbidden    Code = "route_forbidden"
	CodeNoRoute      Code = "route_unknown"
	CodeNotFound     Code = "not_found"
	CodeRateLimited  Code = "rate_limited"
	CodeQuarantined  Code = "quarantined"
	CodeHeld         Code = "held"
	CodeOverloaded   Code = "overloaded"
	CodeLeaving      Code = "leaving"
	CodeDeadline     Code = "deadline_exceeded"
	CodeNoEndpoint   Code = "no_endpoint"
	CodeEndpointLost Code = "endpoint_lost"
	// CodeVersionGone says that no endpoint is left that can continue the response: none
	// runs the version of the software that began it.
	CodeVersionGone Code = "version_gone"
	// CodeVersionUnknown says that it can't be found out which version began the response.
	CodeVersionUnknown Code = "version_unknown"
	// CodeEvacuated says that all data centres that may serve the request are evacuated.
	CodeEvacuated Code = "evacuated"
	// CodeOutsideHomes says that no endpoint is in a region in which the request may run.
	CodeOutsideHomes Code = "outside_homes"
	CodeLogDown      Code = "log_unavailable"
	CodeConflict     Code = "conflict"
	CodeInternal     Code = "internal"
)

// Error is a failure as reported to the caller. It implements error.
type Error struct {
	Status     int           `json:"-"` // HTTP status
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Outcome    Outcome       `json:"outcome"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter time.Duration `json:"-"` // 0: none; sent in whole seconds, rounded up
	Findings   []Finding     `json:"findings,omitempty"`
}

// Finding is one fault in an input, with its position.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`    // from 1; 0: unknown
	Pointer string `json:"pointer,omitempty"` // JSON pointer within the document
	Message string `json:"message"`
}

// String returns the finding on one line, its position first.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		b.WriteString(":" + strconv.Itoa(f.Line))
	}
	if f.Pointer != "" {
		b.WriteString(" " + f.Pointer)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// NewError returns an Error that says that the request was not run.
func NewError(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: NotRun}
}

// WithRetryAfter sets the time after which the caller should retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// errorBody is the JSON document that holds an Error.
type errorBody struct {
	Error *Error `json:"error"`
}

// WriteError responds with e as JSON, with its status and headers.
func WriteError(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: e})
}

// ReadError decodes the body b of an error response written by WriteError. It
// returns nil if b is not such a body.
func ReadError(status int, h http.Header, b []byte) *Error {
	var body errorBody
	if err := json.Unmarshal(b, &body); err != nil || body.Error == nil || body.Error.Code == "" {
		return nil
	}
	e := body.Error
	e.Status = status
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// WriteJSON responds with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
