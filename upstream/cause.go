package upstream

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
)

// ClosedByEndpoint reports whether an exchange failed because the endpoint's side ended the
// connection, as it does when the endpoint crashes.
func ClosedByEndpoint(err error) bool {
	cause := rootCause(err)
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, end) {
			return true
		}
	}
	return false
}

// TimedOut reports whether an exchange failed because its time was up.
func TimedOut(err error) bool { return errors.Is(rootCause(err), os.ErrDeadlineExceeded) }

// rootCause returns what the errors of this package wrap; errors.Is does not see
// through them.
func rootCause(err error) error {
	for {
		wrapped := errorx.Cast(err)
		if wrapped == nil || wrapped.Cause() == nil {
			return err
		}
		err = wrapped.Cause()
	}
}
