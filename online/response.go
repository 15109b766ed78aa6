package online

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/upstream"
)

// callerResponse is what the caller has got so far.
type callerResponse struct {
	call      *pipeline.Call
	status    int
	events    int64
	cursor    eventstream.Cursor // over the events passed on
	firstByte time.Duration      // from the receipt of the request to the first byte; 0: none
}

func (a *callerResponse) headerSent() bool { return a.call.Started }

// writeHeader sends the header of the first endpoint's answer.
func (a *callerResponse) writeHeader(r *http.Response) {
	if a.headerSent() {
		return
	}
	h := a.call.W.Header()
	for name, values := range upstream.EndToEndHeader(r.Header) {
		h[name] = values
	}
	// Headers that the server would add of its own are the endpoint's matter.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	a.call.Started = true
	a.status = r.StatusCode
	a.firstByte = time.Since(a.call.Received)
	a.call.W.WriteHeader(r.StatusCode)
}

// writeBody sends an answer in one piece.
func (a *callerResponse) writeBody(r *http.Response, body []byte) error {
	r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	a.writeHeader(r)
	_, err := a.call.W.Write(body)
	return err
}

// writeEvent sends one writeEvent at once.
func (a *callerResponse) writeEvent(r *http.Response, e eventstream.Event) error {
	r.Header.Del("Content-Length") // another endpoint may have to finish it
	a.writeHeader(r)
	if _, err := a.call.W.Write(e.Raw); err != nil {
		return err
	}
	a.events++
	a.cursor.Advance(e)
	return http.NewResponseController(a.call.W).Flush()
}
