package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
	"dandelionrelay/settings"
)

// partitionFeed is a ConfigFeed with an offset and records.
type partitionFeed struct {
	fakeFeed
	next        int64
	records     []keyedlog.Record
	merged      []keyedlog.Record
	confirmedAt time.Duration
}

func (f *partitionFeed) NextOffset() (int64, bool) { return f.next, true }

func (f *partitionFeed) ConfirmByPeer(next int64, at time.Duration) bool {
	if f.next < next {
		return false
	}
	f.confirmedAt = max(f.confirmedAt, at)
	return true
}

func (f *partitionFeed) ApplyFromPeer(records []keyedlog.Record, next int64) {
	f.records, f.next = records, next
}

func (f *partitionFeed) MergeFromPeer(records []keyedlog.Record) { f.merged = records }

// newConfirmGateway returns a gateway whose configuration ends at offset next and was
// confirmed age ago.
func newConfirmGateway(t *testing.T, id, dataCentre string, next int64, age time.Duration) (*testGateway, *partitionFeed) {
	r := newTestGateway(t)
	f := &partitionFeed{fakeFeed: fakeFeed{age: age}, next: next}
	r.ConfigFeed = f
	r.ConfigRecords = func() []keyedlog.Record { return f.records }
	r.Settings.ID, r.Settings.DataCentre = id, dataCentre
	return r, f
}

// Guards against a cell that is cut off from the store as a whole, whose entries get no
// datagrams of others that read it, and that never learns of an evacuation.
func TestConfirmation_EntriesOfOtherCellsAreAsked(t *testing.T) {
	reading, has := newConfirmGateway(t, "reading", "b", 7, 200*time.Millisecond)
	has.records = []keyedlog.Record{{Offset: 6, Key: "evacuate/a", Value: []byte("{}")}, {Offset: 5, Key: "evacuate/c"}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	reading.Expect(err).NotTo(gomega.HaveOccurred())
	go reading.peers.Serve(l)
	t.Cleanup(func() { _ = l.Close(); reading.peers.Close() })

	r, f := newConfirmGateway(t, "cut", "a", 4, remoteConfirmAge)
	r.Expect(r.needsRemoteConfirmation()).To(gomega.BeFalse(), "no read has failed")
	f.lost = time.Second
	r.Expect(r.needsRemoteConfirmation()).To(gomega.BeTrue())
	r.now += time.Minute
	r.fetchConfig("reading", l.Addr().String())
	r.Expect(f.next).To(gomega.BeEquivalentTo(7))
	r.Expect(f.records).To(gomega.Equal(has.records), "revocations included")
	r.Expect(f.confirmedAt).To(gomega.Equal(r.now - 200*time.Millisecond))

	// Nothing is sent again, and the reply still confirms.
	f.records = nil
	r.now += time.Second
	r.fetchConfig("reading", l.Addr().String())
	r.Expect(f.records).To(gomega.BeNil())
	r.Expect(f.confirmedAt).To(gomega.Equal(r.now - 200*time.Millisecond))

	has.age = -1 // it was never confirmed
	r.now += time.Second
	r.fetchConfig("reading", l.Addr().String())
	r.Expect(f.confirmedAt).To(gomega.Equal(r.now - time.Second - 200*time.Millisecond))
	f.age = 0
	r.Expect(r.needsRemoteConfirmation()).To(gomega.BeFalse(), "it was confirmed of late")
}

// Guards against asking only entries that are cut off with this one: here no one replies.
func TestConfirmation_AsksEntriesOfOtherDataCentres(t *testing.T) {
	var c confirmers
	candidates := []confirmer{{Member: gossip.Member{Name: "far"}}}
	for i := range 21 {
		candidates = append(candidates, confirmer{Member: gossip.Member{Name: fmt.Sprint("near", i)}, sameCell: true, sameDataCentre: true})
	}
	asked := make(map[string]int)
	var order []string
	for n := range 100 {
		now := time.Hour + time.Duration(n)*time.Second
		chosen := c.choose(now, 1, slices.Clone(candidates))
		c.record(chosen[0].Name, now, false)
		asked[chosen[0].Name]++
		order = append(order, chosen[0].Name)
	}
	g := gomega.NewWithT(t)
	g.Expect(order[0]).To(gomega.Equal("far"))
	g.Expect(asked["far"]).To(gomega.BeNumerically(">=", 50))
	g.Expect(100 - asked["far"]).To(gomega.BeNumerically(">", 5))
	distinct := make(map[string]bool)
	for _, name := range order[:30] { // within confirmerFailurePeriod
		distinct[name] = true
	}
	g.Expect(distinct).To(gomega.HaveLen(16), "those that have failed come last")
	g.Expect(c.choose(time.Hour, 2, nil)).To(gomega.BeEmpty())
	near := c.choose(time.Hour, 2, candidates[1:2])
	g.Expect(near).To(gomega.HaveLen(1))
}

// Guards against entries that are lost, which are members throughout an outage, and are asked
// in place of one that replies, and against a cell of which many are asked before any other.
func TestConfirmation_PrefersEntriesThatReply(t *testing.T) {
	g := gomega.NewWithT(t)
	var candidates []confirmer
	for i := range 12 {
		candidates = append(candidates, confirmer{Member: gossip.Member{Name: fmt.Sprint("cell", i)}, sameCell: true, sameDataCentre: true})
		candidates = append(candidates, confirmer{Member: gossip.Member{Name: fmt.Sprint("near", i)}, sameDataCentre: true})
		candidates = append(candidates, confirmer{Member: gossip.Member{Name: fmt.Sprint("far", i)}})
	}
	replies := func(name string) bool { return name == "near3" || name == "near7" }
	var c confirmers
	now, calls := time.Hour, 0
	for found := false; !found; now += time.Second {
		for _, m := range c.choose(now, 2, slices.Clone(candidates)) {
			g.Expect(m.Name).NotTo(gomega.HavePrefix("cell"), "others are left")
			c.record(m.Name, now, replies(m.Name))
			found = found || replies(m.Name)
			calls++
		}
	}
	g.Expect(calls).To(gomega.BeNumerically("<=", 24))
	for range 100 {
		first := c.choose(now, 1, slices.Clone(candidates))[0].Name
		g.Expect(replies(first)).To(gomega.BeTrue(), first)
		c.record(first, now, true)
		now += time.Second
	}
	lost := c.choose(now, 1, slices.Clone(candidates))[0].Name
	c.record(lost, now, false)
	g.Expect(c.choose(now, 1, slices.Clone(candidates))[0].Name).NotTo(gomega.Equal(lost), "it was lost since")
}

// Guards against calls in a deployment that sets no evacuation bound, and against one call at
// a time when little of the bound is left.
func TestConfirmation_AsksOnlyWithinAnEvacuationBound(t *testing.T) {
	r, f := newConfirmGateway(t, "self", "a", 4, time.Minute)
	f.lost = time.Minute
	var records []keyedlog.Record
	for _, name := range []string{"self", "x", "y", "z"} {
		record, err := gossip.EncodeMember(gossip.Member{Name: name, Incarnation: 1, Address: "127.0.0.1:9", DataCentre: "b"})
		r.Expect(err).NotTo(gomega.HaveOccurred())
		records = append(records, record)
	}
	r.members.Apply(records)
	r.Expect(r.needsRemoteConfirmation()).To(gomega.BeTrue())
	r.Expect(r.confirmersToAsk()).To(gomega.BeEmpty(), "no bound is set")
	r.ApplySettings(&settings.Gateway{ID: "self", DataCentre: "a", EvacuationBound: config.Duration(bound)})
	r.Expect(r.confirmersToAsk()).To(gomega.HaveLen(2))
	for range 20 {
		for _, m := range r.confirmersToAsk() {
			r.Expect(m.Name).NotTo(gomega.Equal("self"))
		}
	}
	f.age = bound/3 - 1
	r.Expect(r.confirmersToAsk()).To(gomega.HaveLen(1))
	f.age = remoteConfirmAge - 1
	r.Expect(r.confirmersToAsk()).To(gomega.BeEmpty(), "datagrams confirm it")
}

// Guards against an entry of a release without evacuations, whose records do not name them,
// and which would revoke them.
func TestConfirmation_IncompleteRecordsRevokeNothing(t *testing.T) {
	r, f := newConfirmGateway(t, "self", "a", 4, time.Second)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.peers.Register("Old", &OldConfigRPC{})
	go r.peers.Serve(l)
	t.Cleanup(func() { _ = l.Close(); r.peers.Close() })
	var reply NewestReply
	r.Expect(r.peerPool.Call(context.Background(), l.Addr().String(), "Old.Newest", NewestArgs{Have: 4}, &reply)).To(gomega.Succeed())
	r.Expect(reply.Records).NotTo(gomega.BeEmpty())
	r.Expect(reply.Complete).To(gomega.BeFalse())
	r.Expect(r.applyNewest("old", 0, reply)).To(gomega.BeFalse())
	r.Expect(f.next).To(gomega.BeEquivalentTo(4))
	r.Expect(f.records).To(gomega.BeNil())
	r.Expect(f.merged).To(gomega.Equal(reply.Records), "the configuration is used")
}

// OldConfigRPC replies as a release without evacuations does.
type OldConfigRPC struct{}

// OldNewestReply is NewestReply of that release.
type OldNewestReply struct {
	Records []keyedlog.Record
	Next    int64
}

// Newest returns a configuration.
func (*OldConfigRPC) Newest(_ OldNewestArgs, reply *OldNewestReply) error {
	*reply = OldNewestReply{Records: []keyedlog.Record{{Key: "config", Value: []byte("{}")}}, Next: 9}
	return nil
}

// OldNewestArgs is NewestArgs of that release.
type OldNewestArgs struct{}
