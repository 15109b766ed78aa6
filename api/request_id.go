package api

import (
	"fmt"
	"net/http"

	"github.com/google/uuid"
)

// uuidLength is the length of a UUID in its canonical form.
const uuidLength = 36

// RequestID returns the ID of a request: the one that the caller gave, if it
// is a UUID in its canonical form, or else a new one. No other form is accepted,
// so that neither a key nor arbitrary text gets into logs as an ID.
func RequestID(h http.Header) string {
	given := h.Get(HeaderRequestID)
	if len(given) == uuidLength {
		if id, err := uuid.Parse(given); err == nil {
			return id.String()
		}
	}
	return uuid.NewString()
}

// RequestID returns the request ID of an attempt at a batch item.
func (r WorkRef) RequestID() string {
	return fmt.Sprintf("batch/%s/%d/%s", r.Job, r.Item, r.Attempt)
}
