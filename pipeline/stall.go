package pipeline

import (
	"net/http"
	"time"
)

// CallerStallTimeout is the time after which a caller that takes no data of its response
// has stalled. Its call ends then, so that it does not hold an endpoint.
const CallerStallTimeout = 5 * time.Second

// ExtendWriteDeadline gives the caller CallerStallTimeout from now to take data. It has no
// effect on writers without deadlines, such as response recorders in tests.
func ExtendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(CallerStallTimeout))
}

// ClearWriteDeadline removes the deadline at the end of a call, as the caller may send
// further requests on its connection.
func ClearWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}
