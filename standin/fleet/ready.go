package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dandelionrelay/sleep"
)

// readyPollInterval is the time between two readiness checks of an instance.
const readyPollInterval = 10 * time.Millisecond

// Ready reports whether the readiness check of the instance succeeds.
func (i *Instance) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.OpsAddr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := i.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready. It fails if ctx ends first.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for !i.Ready(ctx) {
		if !sleep.For(ctx, readyPollInterval) {
			return fmt.Errorf("%s at %s is not ready: %w", i.ID, i.OpsAddr, ctx.Err())
		}
	}
	return nil
}
