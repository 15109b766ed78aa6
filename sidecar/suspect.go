package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
)

// suspectRetryAfter is when a suspect may come back to a busy endpoint.
const suspectRetryAfter = time.Second

// suspectSlot lets one suspect run at a time: a request that an endpoint has
// died of. Were two to run, the next death would not tell which one it was.
type suspectSlot struct{ taken atomic.Bool }

// enter takes the slot for a suspect; other requests need none. exit must be
// called when the run is over.
func (s *suspectSlot) enter(suspect bool) (exit func(), e *api.Error) {
	if !suspect {
		return func() {}, nil
	}
	if !s.taken.CompareAndSwap(false, true) {
		e := api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, "another suspect request runs here")
		return nil, e.WithRetryAfter(suspectRetryAfter)
	}
	return func() { s.taken.Store(false) }, nil
}
