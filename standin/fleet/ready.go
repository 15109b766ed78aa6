package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dandelionrelay/sleep"
)

// readyPoll is the time between two looks at whether an instance is ready.
const readyPoll = 10 * time.Millisecond

// Ready asks the instance whether it takes work.
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

// AwaitReady waits until the instance takes work, or ctx ends.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for !i.Ready(ctx) {
		if !sleep.For(ctx, readyPoll) {
			return fmt.Errorf("%s at %s is not ready: %w", i.ID, i.OpsAddr, ctx.Err())
		}
	}
	return nil
}
