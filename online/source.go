package online

import (
	"fmt"

	"github.com/rs/zerolog"

	"dandelionrelay/placement"
)

// eventSource is an endpoint that sent a part of a stream.
type eventSource struct {
	endpoint placement.Endpoint
	events   int64
}

// String returns the endpoint, its version and the number of its events, for the log.
func (s eventSource) String() string {
	return fmt.Sprintf("%s %s %d", s.endpoint.ID, s.endpoint.Version, s.events)
}

// recordEvent records that the last endpoint tried sent an event to the caller.
func (ex *execution) recordEvent() {
	if n := len(ex.sources); n > 0 && ex.sources[n-1].endpoint == ex.endpoint {
		ex.sources[n-1].events++
		return
	}
	if n := len(ex.sources); n > 0 {
		ex.Metrics.observeContinuation(ex.sources[n-1].endpoint.Version, ex.endpoint.Version)
	}
	ex.sources = append(ex.sources, eventSource{endpoint: ex.endpoint, events: 1})
}

// version returns the version of the software that wrote the events that the caller has,
// also from earlier attempts; empty: the caller has none.
func (ex *execution) version() string {
	if r := ex.call.Resumption; r != nil {
		return r.Version
	}
	if len(ex.sources) == 0 {
		return ""
	}
	return ex.sources[0].endpoint.Version
}

// versionGone reports whether the caller takes up a stream that no endpoint can continue.
func (ex *execution) versionGone() bool {
	request := ex.placementRequest()
	request.Avoid = nil
	return request.Version != "" && !ex.Table.Serves(request)
}

// recordOrigin records where the stream begins, unless it has begun or can't be resumed.
func (ex *execution) recordOrigin() {
	if len(ex.sources) == 0 && ex.call.Resumption == nil && ex.route.Resumable {
		ex.RecordOrigin(ex.call.ID, ex.endpoint.Origin())
	}
}

// logStream adds to a log line where the events of the stream came from, and which stream
// the caller took up, if any.
func (ex *execution) logStream(event *zerolog.Event) *zerolog.Event {
	event = event.Str("version", ex.endpoint.Version)
	if r := ex.call.Resumption; r != nil {
		event = event.Str("resumes", r.Attempt).Int64("after_event", r.Cursor.LastID)
	}
	if len(ex.sources) > 1 {
		event = event.Stringers("sources", sourceStringers(ex.sources))
	}
	return event
}

func sourceStringers(sources []eventSource) []fmt.Stringer {
	list := make([]fmt.Stringer, len(sources))
	for i, s := range sources {
		list[i] = s
	}
	return list
}
