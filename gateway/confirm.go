package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"dandelionrelay/keyedlog"
)

// Names of the RPC service that entries call to get the configuration while they can't
// read it from the store.
const (
	configService = "Config"
	methodNewest  = "Config.Newest"
)

// configCallTimeout bounds one call to another entry.
const configCallTimeout = 500 * time.Millisecond

// ConfigFeed follows the partition of the configuration.
type ConfigFeed interface {
	Feed
	// ConfirmByPeer records that the records before next are all that were appended
	// before at. It returns false if newer records are missing here.
	ConfirmByPeer(next int64, at time.Duration) bool
	// ApplyFromPeer replaces the state with the newest records, which another entry has
	// read up to next.
	ApplyFromPeer(records []keyedlog.Record, next int64)
	// MergeFromPeer applies records of another entry that are not the newest of all keys.
	MergeFromPeer(records []keyedlog.Record)
}

// NewestArgs says what the calling entry has.
type NewestArgs struct {
	Have int64 // offset up to which it has read the partition
}

// NewestReply holds the newest records of the partition of the configuration.
type NewestReply struct {
	Records []keyedlog.Record // none if the calling entry has read as far
	Next    int64             // offset up to which the replying entry has read the partition
	// Complete says that Records holds the newest record of every key: evacuations without
	// one have ended. Entries of releases without evacuations do not set it.
	Complete bool
	// Confirmed says that Age is the time for which records may be missing.
	Confirmed bool
	Age       time.Duration
}

// configRPC is the service under configService.
type configRPC struct{ g *Gateway }

// Newest returns the newest records that this entry has applied.
func (c *configRPC) Newest(args NewestArgs, reply *NewestReply) error {
	reply.Complete = true
	// The age is read before the offset and that before the records: what is read later is
	// at least as new.
	reply.Age, reply.Confirmed = c.g.ConfigFeed.Age()
	reply.Next, _ = c.g.ConfigFeed.NextOffset()
	if reply.Next > args.Have {
		reply.Records = c.g.ConfigRecords()
	}
	return nil
}

// configFetcher fetches the configuration from other entries. busy is set while it does.
type configFetcher struct {
	busy atomic.Bool
}

// PeerConfirmed implements gossip.Listener. An entry that can't reach the store goes on
// with keys that another entry has confirmed.
func (g *Gateway) PeerConfirmed(name string, next int64, confirmed time.Duration) {
	g.storeReads.record(name, confirmed)
	if g.ConfigFeed.ConfirmByPeer(next, confirmed) || g.ConfigFeed.LostFor() == 0 {
		return
	}
	if address, ok := g.members.Address(name); ok && g.fetcher.busy.CompareAndSwap(false, true) {
		go g.fetchConfig(name, address)
	}
}

// fetchConfig applies the configuration of another entry. The caller has set busy.
func (g *Gateway) fetchConfig(name, address string) {
	defer g.fetcher.busy.Store(false)
	g.askForConfig(name, address)
}

// askForConfig asks another entry for the configuration and applies the reply. It reports
// whether that entry has confirmed its configuration recently.
func (g *Gateway) askForConfig(name, address string) (confirmed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	var reply NewestReply
	asked := g.Clock()
	have, _ := g.ConfigFeed.NextOffset()
	if err := g.peerPool.Call(ctx, address, methodNewest, NewestArgs{Have: have}, &reply); err != nil {
		g.Log.Warn().Err(err).Str("peer", name).Msg("could not get the configuration from another entry")
		return false
	}
	if g.applyNewest(name, asked, reply) {
		g.Log.Info().Str("peer", name).Int64("next_offset", reply.Next).Dur("store_lost_ms", g.ConfigFeed.LostFor()).
			Msg("got the configuration from another entry")
	}
	return reply.Confirmed && reply.Age < remoteConfirmAge
}
