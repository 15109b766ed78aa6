package gateway

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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

// Periods for which results of these calls count. A member that is down or cut off as well is
// asked again later, as members do not expire in an outage.
const (
	confirmerSuccessPeriod = 10 * time.Second
	confirmerFailurePeriod = 30 * time.Second
)

// confirmRemotely asks other entries for the configuration while neither the store nor the
// datagrams of others confirm it, until ctx is done.
func (g *Gateway) confirmRemotely(ctx context.Context) {
	for sleep.For(ctx, remoteConfirmInterval) {
		targets := g.confirmersToAsk()
		if len(targets) == 0 || !g.fetcher.busy.CompareAndSwap(false, true) {
			continue
		}
		var calls sync.WaitGroup
		for _, m := range targets {
			calls.Go(func() { g.confirmers.record(m.Name, g.Clock(), g.askForConfig(m.Name, m.Address)) })
		}
		calls.Wait()
		g.fetcher.busy.Store(false)
	}
}

// confirmersToAsk returns the entries to ask now: none unless an evacuation bound is set, and
// two at a time once a third of it has passed without confirmation.
func (g *Gateway) confirmersToAsk() []gossip.Member {
	bound := time.Duration(g.settings.Load().EvacuationBound)
	if bound == 0 || !g.needsRemoteConfirmation() {
		return nil
	}
	n := 1
	if !g.configConfirmedWithin(bound / 3) {
		n = 2
	}
	inCell := make(map[string]bool)
	for _, name := range g.node.CellMembers() {
		inCell[name] = true
	}
	var candidates []confirmer
	for _, m := range g.members.Members() {
		if m.Name != g.Settings.ID {
			candidates = append(candidates, confirmer{Member: m, sameCell: inCell[m.Name], sameDataCentre: m.DataCentre == g.Settings.DataCentre})
		}
	}
	return g.confirmers.choose(g.Clock(), n, candidates)
}

// needsRemoteConfirmation reports whether the store can't be read and no other entry has
// confirmed the configuration recently.
func (g *Gateway) needsRemoteConfirmation() bool {
	return g.ConfigFeed.LostFor() > 0 && !g.configConfirmedWithin(remoteConfirmAge)
}

// confirmer is an entry that may confirm the configuration.
type confirmer struct {
	gossip.Member
	sameCell, sameDataCentre bool // as this entry
}

// confirmers decides which entries are asked, by the results of earlier calls.
type confirmers struct {
	mu                sync.Mutex
	confirmed, failed map[string]time.Duration // by entry: time of the last call, if that was its result
	attempts          int                      // calls of choose
}

// record records whether an entry has confirmed the configuration when it was asked.
func (c *confirmers) record(name string, now time.Duration, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed == nil {
		c.confirmed, c.failed = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	maps.DeleteFunc(c.confirmed, func(_ string, at time.Duration) bool { return now-at >= confirmerSuccessPeriod })
	maps.DeleteFunc(c.failed, func(_ string, at time.Duration) bool { return now-at >= confirmerFailurePeriod })
	delete(c.confirmed, name)
	delete(c.failed, name)
	if confirmed {
		c.confirmed[name] = now
	} else {
		c.failed[name] = now
	}
}

// confirmerClass is the order in which entries are asked.
type confirmerClass int

const (
	recentlyConfirmed confirmerClass = iota
	otherDataCentre
	otherCell
	retryOtherDataCentre
	sameCell
	recentlyFailed
)

// choose returns up to n of the candidates: those that have confirmed it recently; then
// those that have not failed recently, first of other data centres and then of other cells, as this
// one may be cut off; then the others, from the one whose failure is the longest ago. Every
// other time, those of other data centres that have failed come before all of this cell. Equal
// ones are taken at random.
func (c *confirmers) choose(now time.Duration, n int, candidates []confirmer) []gossip.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	rank := func(m confirmer) (class confirmerClass, at time.Duration) {
		if at, ok := c.confirmed[m.Name]; ok && now-at < confirmerSuccessPeriod {
			return recentlyConfirmed, 0
		}
		if at, ok := c.failed[m.Name]; ok && now-at < confirmerFailurePeriod {
			if !m.sameDataCentre && c.attempts%2 == 1 {
				return retryOtherDataCentre, at
			}
			return recentlyFailed, at
		}
		switch {
		case !m.sameDataCentre:
			return otherDataCentre, 0
		case !m.sameCell:
			return otherCell, 0
		}
		return sameCell, 0
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b confirmer) int {
		classA, atA := rank(a)
		classB, atB := rank(b)
		return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(atA, atB))
	})
	var chosen []gossip.Member
	for _, m := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, m.Member)
	}
	return chosen
}

// applyNewest applies the reply of another entry to a call that began at asked, a time of
// this entry's clock. It reports whether the reply brought newer records of evacuations as
// well. An entry of a release that does not know evacuations has only the configuration. That
// is used, but the offset stays: records of evacuations before it are still to be read.
func (g *Gateway) applyNewest(name string, asked time.Duration, reply NewestReply) bool {
	if !reply.Complete {
		g.ConfigFeed.MergeFromPeer(reply.Records)
		g.Log.Warn().Str("peer", name).Msg("got no evacuations from another entry, whose release does not know them")
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
