package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/gossip"
)

// In an outage of the store for all, other entries may not have noticed it yet. Calls on
// jobs are handed only to those that have read the store since this entry failed to.
func TestHandover_OnlyToEntriesThatReadStoreSince(t *testing.T) {
	r := newTestGateway(t)
	members := []gossip.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	lostAt := r.now
	r.PeerConfirmed("a", 1, lostAt-time.Second)
	r.PeerConfirmed("b", 1, lostAt)
	r.Expect(r.storeReads.since(lostAt, members)).To(gomega.BeEmpty())
	r.PeerConfirmed("b", 1, lostAt+time.Millisecond)
	r.PeerConfirmed("b", 1, lostAt-time.Minute) // an older datagram
	r.Expect(r.storeReads.since(lostAt, members)).To(gomega.Equal(members[1:2]))
	r.PeerTimedOut("b")
	r.Expect(r.storeReads.since(lostAt, members)).To(gomega.BeEmpty())
	r.Expect(r.HandoverTargets()).To(gomega.BeEmpty(), "this entry reaches the store")
}
