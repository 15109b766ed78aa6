package front

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// logPanic logs a panic of a call's handler with its stack. Only the type of the
// value is logged, as the value may contain a caller's text; runtime errors
// contain none and are logged with their message.
func (h *Handler) logPanic(request string, value any) {
	description := fmt.Sprintf("%T", value)
	if err, ok := value.(runtime.Error); ok {
		description = err.Error()
	}
	h.log.Error().Str("request", request).Str("panic", description).Bytes("stack", debug.Stack()).Msg("request handler panicked")
}
