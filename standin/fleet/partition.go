package fleet

import (
	"context"
	"net"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
	standin "dandelionrelay/standin/platform"
)

// platformTimeout is the duration after which calls to an unreachable platform fail.
const platformTimeout = 5 * time.Second

// zonedNetwork is implemented by networks that support partitions between data
// centres.
type zonedNetwork interface {
	SetZone(addr, dataCentre string)
	DialFrom(ctx context.Context, dataCentre, addr string) (net.Conn, error)
}

// IsolateFromPlatform makes the platform unreachable from a data centre while on is
// true.
func (f *Fleet) IsolateFromPlatform(dataCentre string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[dataCentre] = on
}

// dialerFor returns the dial function of an instance.
func (f *Fleet) dialerFor(i infra.Instance) func(ctx context.Context, addr string) (net.Conn, error) {
	z, ok := f.opts.Network.(zonedNetwork)
	if !ok {
		return f.opts.Network.Dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return z.DialFrom(ctx, i.DataCentre, addr) }
}

// logFor returns the log as seen from the data centre of an instance.
func (f *Fleet) logFor(i infra.Instance) infra.Log {
	return &remoteLog{log: f.Log, link: platformLink{f, i.DataCentre}}
}

// instancesFor returns the instance list as seen from the data centre of an instance.
func (f *Fleet) instancesFor(i infra.Instance) infra.Instances {
	return &remoteList{list: f.Instances, link: platformLink{f, i.DataCentre}}
}

// platformLink is the connection from a data centre to the platform.
type platformLink struct {
	fleet      *Fleet
	dataCentre string
}

// check fails if the platform is unreachable, after platformTimeout or when ctx ends.
func (p platformLink) check(ctx context.Context) error {
	if !p.isolated() {
		return nil
	}
	sleep.For(ctx, platformTimeout)
	return infra.Unavailable.New("platform is unreachable from data centre %s", p.dataCentre)
}

func (p platformLink) isolated() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.isolated[p.dataCentre]
}

// remoteLog is a log that is reached over a link.
type remoteLog struct {
	log  *standin.Log
	link platformLink
}

// Append implements infra.Log. If the link fails during the call, the call fails although
// the record may be stored.
func (l *remoteLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	if err := l.link.check(ctx); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(ctx, stream, id, data)
	if l.link.isolated() {
		return 0, infra.Unavailable.New("platform became unreachable from data centre %s during the call", l.link.dataCentre)
	}
	return offset, err
}

// Read implements infra.Log.
func (l *remoteLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	if err := l.link.check(ctx); err != nil {
		return nil, err
	}
	records, err := l.log.Read(ctx, stream, from, limit, wait)
	if l.link.isolated() {
		return nil, infra.Unavailable.New("platform became unreachable from data centre %s during the call", l.link.dataCentre)
	}
	return records, err
}

// Bounds implements infra.Log.
func (l *remoteLog) Bounds(ctx context.Context, stream string) (oldest, next infra.Offset, err error) {
	if err := l.link.check(ctx); err != nil {
		return 0, 0, err
	}
	return l.log.Bounds(ctx, stream)
}

// remoteList is an instance list that is reached over a link.
type remoteList struct {
	list *standin.Instances
	link platformLink
}

// List implements infra.Instances.
func (l *remoteList) List(ctx context.Context) ([]infra.Instance, error) {
	if err := l.link.check(ctx); err != nil {
		return nil, err
	}
	return l.list.List(ctx)
}
