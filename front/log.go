package front

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// logPanic logs the panic of a call's handler with where it happened. Of the
// value only the type is shown, as it may hold a caller's text, but for errors
// of the runtime, which hold none.
func (f *Handler) logPanic(request string, value any) {
	what := fmt.Sprintf("%T", value)
	if err, ok := value.(runtime.Error); ok {
		what = err.Error()
	}
	f.log.Error().Str("request", request).Str("panic", what).Bytes("stack", debug.Stack()).Msg("request handler panicked")
}
