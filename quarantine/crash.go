package quarantine

import (
	"context"
	"time"

	"dandelionrelay/api"
)

// probeTimeout bounds the look whether an endpoint takes connections: several
// round trips within a region.
const probeTimeout = 250 * time.Millisecond

// Prober tells whether an endpoint takes connections; upstream.Pool implements
// it.
type Prober interface {
	Reachable(ctx context.Context, addr string) bool
}

// RecordIfUnreachable holds a death against x.Request if its endpoint at addr, which
// has ended the connection, takes no new one either: it has crashed. What else ran
// there is not known, so a single death says little.
func RecordIfUnreachable(s Tracker, p Prober, x Crash, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if p.Reachable(ctx, addr) {
		return
	}
	x.Attempt = x.Request + "/" + x.Endpoint
	x.Kind = api.CrashLost
	s.RecordCrash(x)
}
