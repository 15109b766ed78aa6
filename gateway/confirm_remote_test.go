package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
)

// partitionFeed is a ConfigFeed with an offset and records.
type partitionFeed struct {
	fakeFeed
	next        int64
	records     []keyedlog.Record
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

// Guards against asking only entries that are cut off with this one.
func TestConfirmation_AsksEntriesOfOtherDataCentres(t *testing.T) {
	r, _ := newConfirmGateway(t, "self", "a", 0, 0)
	members := []gossip.Member{{Name: "self", DataCentre: "a"}, {Name: "near", DataCentre: "a"}, {Name: "far", DataCentre: "b"}}
	for range 20 {
		members = append(members, gossip.Member{Name: "near", DataCentre: "a"})
	}
	asked := make(map[string]int)
	for n := range 100 {
		m, ok := r.pickConfirmer(n, members)
		r.Expect(ok).To(gomega.BeTrue())
		asked[m.Name]++
	}
	r.Expect(asked["self"]).To(gomega.BeZero())
	r.Expect(asked["far"]).To(gomega.BeNumerically(">=", 50))
	r.Expect(asked["near"]).To(gomega.BeNumerically(">", 5))
	_, ok := r.pickConfirmer(0, members[:1])
	r.Expect(ok).To(gomega.BeFalse())
	m, _ := r.pickConfirmer(0, members[:2])
	r.Expect(m.Name).To(gomega.Equal("near"))
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
