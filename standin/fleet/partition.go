package fleet

import (
	"context"
	"net"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
	standin "dandelionrelay/standin/platform"
)

// platformTimeout is how long a call to a platform out of reach takes.
const platformTimeout = 5 * time.Second

// zoned is a Network that can part data centres.
type zoned interface {
	SetZone(addr, dataCentre string)
	DialFrom(ctx context.Context, dataCentre, addr string) (net.Conn, error)
}

// IsolateFromPlatform cuts a data centre off from the platform, or joins it again.
func (f *Fleet) IsolateFromPlatform(dataCentre string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff[dataCentre] = on
}

// dialerOf returns how an instance connects to others.
func (f *Fleet) dialerOf(i infra.Instance) func(ctx context.Context, addr string) (net.Conn, error) {
	z, ok := f.opts.Network.(zoned)
	if !ok {
		return f.opts.Network.Dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return z.DialFrom(ctx, i.DataCentre, addr) }
}

// logOf returns the log as an instance reaches it.
func (f *Fleet) logOf(i infra.Instance) infra.Log {
	return &remoteLog{log: f.Log, way: way{f, i.DataCentre}}
}

// listOf returns the instance list as an instance reaches it.
func (f *Fleet) listOf(i infra.Instance) infra.Instances {
	return &remoteList{list: f.Instances, way: way{f, i.DataCentre}}
}

// way is the way from a data centre to the platform.
type way struct {
	fleet      *Fleet
	dataCentre string
}

// pass fails after platformTimeout if the platform is out of reach.
func (w way) pass(ctx context.Context) error {
	if !w.cut() {
		return nil
	}
	sleep.For(ctx, platformTimeout)
	return infra.Unavailable.New("%s is cut off", w.dataCentre)
}

func (w way) cut() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fleet.cutOff[w.dataCentre]
}

// remoteLog is a log at the end of a way.
type remoteLog struct {
	log *standin.Log
	way way
}

// Append implements infra.Log. An append whose answer the cut overtakes is
// stored.
func (l *remoteLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	if err := l.way.pass(ctx); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(ctx, stream, id, data)
	if l.way.cut() {
		return 0, infra.Unavailable.New("%s was cut off", l.way.dataCentre)
	}
	return offset, err
}

// Read implements infra.Log.
func (l *remoteLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	if err := l.way.pass(ctx); err != nil {
		return nil, err
	}
	records, err := l.log.Read(ctx, stream, from, limit, wait)
	if l.way.cut() {
		return nil, infra.Unavailable.New("%s was cut off", l.way.dataCentre)
	}
	return records, err
}

// Bounds implements infra.Log.
func (l *remoteLog) Bounds(ctx context.Context, stream string) (oldest, next infra.Offset, err error) {
	if err := l.way.pass(ctx); err != nil {
		return 0, 0, err
	}
	return l.log.Bounds(ctx, stream)
}

// remoteList is an instance list at the end of a way.
type remoteList struct {
	list *standin.Instances
	way  way
}

// List implements infra.Instances.
func (l *remoteList) List(ctx context.Context) ([]infra.Instance, error) {
	if err := l.way.pass(ctx); err != nil {
		return nil, err
	}
	return l.list.List(ctx)
}
