// Package sleep provides a sleep that can be cancelled by a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends. It
// allocates no timer if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
