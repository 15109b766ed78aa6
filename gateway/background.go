package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
)

// pruneInterval is the interval at which pruneConnections closes idle connections.
const pruneInterval = 2 * time.Second

// Run runs the background tasks until ctx is done, and then closes the sockets. datagrams
// carries those between entries, calls accepts their calls.
func (g *Gateway) Run(ctx context.Context, datagrams *net.UDPConn, calls net.Listener) {
	var wg sync.WaitGroup
	go g.peers.Serve(calls)
	defer func() {
		_ = calls.Close()
		g.peers.Close()
		g.peerPool.Close()
	}()
	wg.Go(func() { g.ConfigFeed.Run(ctx) })
	wg.Go(func() { g.EndpointFeed.Run(ctx) })
	for _, f := range g.followers {
		wg.Go(func() { f.Run(ctx) })
	}
	wg.Go(func() { g.registerPeriodically(ctx) })
	wg.Go(func() { g.syncLevels(ctx) })
	wg.Go(func() { g.confirmRemotely(ctx) })
	wg.Go(func() { g.suspects.Run(ctx) })
	wg.Go(func() { g.node.Run(ctx, datagrams) })
	wg.Go(func() { g.jobs.Run(ctx) })
	wg.Go(func() { g.pruneConnections(ctx) })
	wg.Go(func() { g.logColdEnds(ctx) })
	wg.Wait()
}

// registerPeriodically writes the registration of this entry every
// gossip.RegistrationInterval, so that the other entries find it.
func (g *Gateway) registerPeriodically(ctx context.Context) {
	tick := time.NewTicker(gossip.RegistrationInterval)
	defer tick.Stop()
	for {
		if err := g.registerOnce(ctx); err != nil && ctx.Err() == nil {
			g.Log.Debug().Err(err).Msg("could not write the registration of this entry")
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *Gateway) registerOnce(ctx context.Context) error {
	record, err := gossip.EncodeMember(g.self())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	_, err = g.Members.Append(ctx, keyedlog.AnyOffset, []keyedlog.Record{record})
	return err
}

// pruneConnections periodically closes expired idle connections and those to endpoints
// that are no longer listed.
func (g *Gateway) pruneConnections(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		addrs := g.endpointAddrs
		g.mu.Unlock()
		g.pool.Prune(func(addr string) bool { return addrs[addr] })
	}
}
