package online

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/upstream"
)

// callerResponse sends the response to the caller and records which part of it was
// sent.
type callerResponse struct {
	call      *pipeline.Call
	status    int
	events    int64              // sent
	cursor    eventstream.Cursor // position after the last event sent
	firstByte time.Duration      // from the receipt of the request to the first byte; 0: none sent
	lastEvent time.Time          // when the last event was sent
	longest   time.Duration      // longest time between two events sent, over all endpoints
}

func (cr *callerResponse) headerSent() bool { return cr.call.ResponseStarted }

// writeHeader sends the header of resp, unless a header was sent before.
func (cr *callerResponse) writeHeader(resp *http.Response) {
	if cr.headerSent() {
		return
	}
	h := cr.call.W.Header()
	for name, values := range upstream.EndToEndHeader(resp.Header) {
		h[name] = values
	}
	// Keep the HTTP server from adding headers that the endpoint did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	cr.call.ResponseStarted = true
	cr.status = resp.StatusCode
	cr.firstByte = time.Since(cr.call.Received)
	cr.call.W.WriteHeader(resp.StatusCode)
}

// write sends b to the caller. It fails if the caller has stalled.
func (cr *callerResponse) write(b []byte) error {
	pipeline.ExtendWriteDeadline(cr.call.W)
	_, err := cr.call.W.Write(b)
	return err
}

// end ends the response.
func (cr *callerResponse) end() {
	if cr.headerSent() {
		pipeline.ClearWriteDeadline(cr.call.W)
	}
}

// writeBody sends a complete response with its Content-Length.
func (cr *callerResponse) writeBody(resp *http.Response, body []byte) error {
	resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
	cr.writeHeader(resp)
	return cr.write(body)
}

// writeEvent sends one event and flushes it.
func (cr *callerResponse) writeEvent(resp *http.Response, e eventstream.Event) error {
	resp.Header.Del("Content-Length") // another endpoint may have to complete the stream
	cr.writeHeader(resp)
	if err := cr.write(e.Raw); err != nil {
		return err
	}
	cr.recordGap()
	cr.events++
	cr.cursor.Advance(e)
	return http.NewResponseController(cr.call.W).Flush()
}

// recordGap updates the longest time between two events with the one that is sent now.
func (cr *callerResponse) recordGap() {
	now := time.Now()
	if cr.events > 0 {
		cr.longest = max(cr.longest, now.Sub(cr.lastEvent))
	}
	cr.lastEvent = now
}
