package quarantine

import (
	"context"
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
// connection either. The recorded attempt ID consists of the IDs of the request
// and the endpoint. Since it is not known what else ran at the endpoint, a request
// that has only such crashes is quarantined at CrashThreshold.
func RecordIfUnreachable(t Tracker, p Prober, c Crash, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if p.Reachable(ctx, addr) {
		return
	}
	c.Attempt = c.Request + "/" + c.Endpoint
	c.Kind = api.CrashLost
	t.RecordCrash(c)
}
