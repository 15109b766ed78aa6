package online

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/upstream"
)

// answer is what the caller has got so far.
type answer struct {
	call   *pipeline.Call
	status int
	events int64
	lastID int64 // of the last event passed on
	hasID  bool
	first  time.Duration // from the receipt of the request to the first byte; 0: none
}

func (a *answer) started() bool { return a.call.Started }

// begin sends the header of the first endpoint's answer.
func (a *answer) begin(r *http.Response) {
	if a.started() {
		return
	}
	h := a.call.W.Header()
	for name, values := range upstream.PassOn(r.Header) {
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
	a.first = time.Since(a.call.Received)
	a.call.W.WriteHeader(r.StatusCode)
}

// whole sends an answer in one piece.
func (a *answer) whole(r *http.Response, body []byte) error {
	r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	a.begin(r)
	_, err := a.call.W.Write(body)
	return err
}

// stale reports whether the caller has e already.
func (a *answer) stale(e eventstream.Event) bool {
	return a.hasID && e.HasID && e.ID <= a.lastID
}

// misses reports whether an event between the last one passed on and e is
// missing.
func (a *answer) misses(e eventstream.Event) bool {
	return a.hasID && e.HasID && e.ID != a.lastID+1
}

// event sends one event at once.
func (a *answer) event(r *http.Response, e eventstream.Event) error {
	r.Header.Del("Content-Length") // another endpoint may have to finish it
	a.begin(r)
	if _, err := a.call.W.Write(e.Raw); err != nil {
		return err
	}
	a.events++
	if e.HasID {
		a.lastID, a.hasID = e.ID, true
	}
	return http.NewResponseController(a.call.W).Flush()
}

// end finishes a stream.
func (a *answer) end(r *http.Response) { a.begin(r) }
