package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/sleep"
)

// Datagrams confirm the configuration among the entries of a cell. If a whole cell can't read
// the store, as when its data centre is cut off from it, its entries ask others by RPC.
const (
	// remoteConfirmInterval is the interval of these calls.
	remoteConfirmInterval = time.Second
	// remoteConfirmAge is the age of the configuration from which an entry that can't read
	// the store asks: while datagrams confirm it, it is younger.
	remoteConfirmAge = 1500 * time.Millisecond
)

// confirmRemotely asks other entries for the configuration while neither the store nor the
// datagrams of others confirm it, until ctx is done.
func (g *Gateway) confirmRemotely(ctx context.Context) {
	for n := 0; sleep.For(ctx, remoteConfirmInterval); n++ {
		if !g.needsRemoteConfirmation() {
			continue
		}
		m, ok := g.pickConfirmer(n, g.members.Members())
		if ok && g.fetcher.busy.CompareAndSwap(false, true) {
			g.fetchConfig(m.Name, m.Address)
		}
	}
}

// needsRemoteConfirmation reports whether the store can't be read and no other entry has
// confirmed the configuration of late.
func (g *Gateway) needsRemoteConfirmation() bool {
	return g.ConfigFeed.LostFor() > 0 && !g.configConfirmedWithin(remoteConfirmAge)
}

// pickConfirmer chooses the entry to ask in attempt n at random: every other time among those
// of other data centres if there are any, as this one may be cut off.
func (g *Gateway) pickConfirmer(n int, members []gossip.Member) (gossip.Member, bool) {
	var others, remote []gossip.Member
	for _, m := range members {
		if m.Name == g.Settings.ID {
			continue
		}
		others = append(others, m)
		if m.DataCentre != g.Settings.DataCentre {
			remote = append(remote, m)
		}
	}
	if n%2 == 0 && len(remote) > 0 {
		others = remote
	}
	if len(others) == 0 {
		return gossip.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// applyNewest applies the reply of another entry to a call that began at asked, a time of
// this entry's clock. It reports whether the reply brought newer records.
func (g *Gateway) applyNewest(name string, asked time.Duration, reply NewestReply) bool {
	if !reply.Complete {
		g.Log.Warn().Str("peer", name).Msg("configuration of another entry not used: its release does not know evacuations")
		return false
	}
	newer := len(reply.Records) > 0
	if newer {
		g.ConfigFeed.ApplyFromPeer(reply.Records, reply.Next)
	}
	if reply.Confirmed {
		confirmed := asked - reply.Age
		g.ConfigFeed.ConfirmByPeer(reply.Next, confirmed)
		g.storeReads.record(name, confirmed)
	}
	return newer
}
