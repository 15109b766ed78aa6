package quarantine

import (
	"context"
	"fmt"
	"time"

	"dandelionrelay/api"
)

// probeTimeout bounds the connection attempt to an endpoint. It allows for
// several round trips within a region.
const probeTimeout = 250 * time.Millisecond

// Prober reports whether an endpoint accepts connections. upstream.Pool
// implements it.
type Prober interface {
	Reachable(ctx context.Context, addr string) bool
}

// CrashKind returns the kind of a crash of which kind was seen, for a request whose run had
// brought the given number of events or tokens. A request that crashes endpoints does so as
// its response begins. If it had begun well, the endpoint crashed by chance, though it may
// have run nothing else.
func CrashKind(kind api.Crash, events int64) api.Crash {
	if kind == api.CrashAlone && events >= MinSoundEvents {
		return api.CrashWithOthers
	}
	return kind
}

// RecordIfUnreachable records c as a crash of kind api.CrashLost if the endpoint
// at addr, which has closed the connection of the request, accepts no new
// connection either. Since it is not known what else ran at the endpoint, a request
// that has only such crashes is quarantined at CrashThreshold.
func RecordIfUnreachable(t Tracker, p Prober, c Crash, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if p.Reachable(ctx, addr) {
		return
	}
	t.RecordCrash(c.lost())
}

// incarnation identifies the incarnation of the endpoint.
func (c Crash) incarnation() string { return fmt.Sprintf("%s@%d", c.Endpoint, c.Incarnation) }

// lost returns c as a crash of kind api.CrashLost. An incarnation crashes once, however many
// attempts of the same request were in flight there: all of them have one attempt ID.
func (c Crash) lost() Crash {
	c.Attempt = c.incarnation()
	c.Kind = api.CrashLost
	return c
}
