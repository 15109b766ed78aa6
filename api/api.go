// Package api holds the messages that cross process boundaries: the typed
// outcome of a request, the error body that callers see, and the headers
// between entry, sidecar and endpoint.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Outcome says what is known of a request's run.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // it ran and the answer is whole
	NotRun  Outcome = "not_run" // it certainly never started at an endpoint
	Unknown Outcome = "unknown" // it may have run
)

// Lane is the class of a request.
type Lane string

// The lanes, in order of priority.
const (
	Online Lane = "online"
	Batch  Lane = "batch"
)

// Headers between entry and sidecar, and on answers to callers.
const (
	HeaderRequestID  = "Relay-Request-Id"
	HeaderAttemptID  = "Relay-Attempt-Id"
	HeaderCustomer   = "Relay-Customer"
	HeaderDeployment = "Relay-Deployment"
	HeaderDeadline   = "Relay-Deadline-Ms" // time left, in milliseconds
	HeaderOutcome    = "Relay-Outcome"
	HeaderQueueWait  = "Relay-Queue-Wait-Ms" // estimated wait for a new online request
	HeaderLeaving    = "Relay-Leaving"       // "1": send no new work
	HeaderIdempotent = "Relay-Idempotent"    // "1": may be repeated
	HeaderSuspect    = "Relay-Suspect"       // "1": an endpoint died of it; run it alone
	HeaderCrash      = "Relay-Crash"         // what was seen when the endpoint crashed with the attempt

	// HeaderBesideBatch is "1" on an answer if batch items ran at the endpoint
	// when the request arrived.
	HeaderBesideBatch = "Relay-Beside-Batch"
)

// Crash is what a sidecar saw when its endpoint crashed with an attempt in
// flight.
type Crash string

// What a sidecar may have seen.
const (
	NoCrash         Crash = ""       // no crash with the attempt
	CrashWithOthers Crash = "beside" // other attempts were in flight
	CrashAlone      Crash = "alone"  // the endpoint ran nothing else
	// CrashLost is said by entries of a sidecar that is gone too.
	CrashLost Crash = "lost"
)

// Code is a machine-readable reason of a refusal or failure.
type Code string

// The codes of errors that callers see.
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
	CodeOverloaded   Code = "overloaded"
	CodeDeadline     Code = "deadline_exceeded"
	CodeNoEndpoint   Code = "no_endpoint"
	CodeEndpointLost Code = "endpoint_lost"
	CodeLogDown      Code = "log_unavailable"
	CodeConflict     Code = "conflict"
	CodeInternal     Code = "internal"
)

// Error is a failure as the caller sees it. It implements error.
type Error struct {
	Status     int           `json:"-"` // HTTP status
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	Outcome    Outcome       `json:"outcome"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter time.Duration `json:"-"` // 0: none; sent in whole seconds, rounded up
	Findings   []Finding     `json:"findings,omitempty"`
}

// Finding is one fault of an input with its place.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`    // from 1; 0: unknown
	Pointer string `json:"pointer,omitempty"` // JSON pointer within the document
	Message string `json:"message"`
}

// String returns the finding on one line, its place first.
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

// WithRetryAfter sets when the caller should come back and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// errorBody is the JSON document around an Error.
type errorBody struct {
	Error *Error `json:"error"`
}

// WriteError answers with e as JSON.
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

// ReadError reads an error body written by WriteError. It returns nil if b is
// no such body.
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

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
