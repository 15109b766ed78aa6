package upstream

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
)

// ClosedByEndpoint reports whether an exchange failed because the endpoint closed
// the connection, as happens when it crashes.
func ClosedByEndpoint(err error) bool {
	cause := rootCause(err)
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, end) {
			return true
		}
	}
	return false
}

// TimedOut reports whether an exchange failed because its deadline passed.
func TimedOut(err error) bool { return errors.Is(rootCause(err), os.ErrDeadlineExceeded) }

// rootCause returns the innermost error that the errors of this package wrap, as
// errors.Is does not unwrap them.
func rootCause(err error) error {
	for {
		wrapped := errorx.Cast(err)
		if wrapped == nil || wrapped.Cause() == nil {
			return err
		}
		err = wrapped.Cause()
	}
}
