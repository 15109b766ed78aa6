package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/standin/network"
	standin "dandelionrelay/standin/platform"
)

// testFleet is a number of entries, each with a Node, on an in-memory network.
type testFleet struct {
	t       *testing.T
	net     *network.Network
	log     *standin.Log
	members membership.Static
	nodes   []*Node
}

func newTestFleet(t *testing.T, n int, seed uint64) *testFleet {
	f := &testFleet{t: t, net: network.New(), log: standin.NewLog(0, seed)}
	for i := range n {
		f.members = append(f.members, infra.Instance{
			ID: fmt.Sprintf("e%02d", i), Role: infra.RoleEntry, State: infra.Live,
			DataCentre: fmt.Sprint("dc", i%3), RPCAddr: fmt.Sprintf("10.0.0.%d:90", i),
		})
	}
	for i := range n {
		f.nodes = append(f.nodes, f.start(i))
	}
	return f
}

func (f *testFleet) start(i int) *Node {
	self := f.members[i]
	pool := peer.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return f.net.DialContext(ctx, "tcp", addr)
	})
	node := NewNode(Deps{ID: self.ID, DataCentre: self.DataCentre, Log: f.log, Members: f.members, Peers: pool})
	server := peer.NewServer()
	server.Register(ServiceName, node.RPC())
	l := f.net.Listen(self.RPCAddr)
	go server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx)
	f.t.Cleanup(func() {
		cancel()
		_ = l.Close()
		server.Close()
		pool.Close()
	})
	return node
}

// countVerdicts returns the number of nodes with verdict v on d.
func (f *testFleet) countVerdicts(d Digest, v Verdict) int {
	n := 0
	for _, node := range f.nodes {
		if node.Verdict(d, "c") == v {
			n++
		}
	}
	return n
}

// TestNode_QuarantinesOnCrashesSeenByTwoEntries guards against crashes being
// counted at each entry only: two entries see one crash each while the log is down,
// or while the log is unreliable and one entry is unreachable.
func TestNode_QuarantinesOnCrashesSeenByTwoEntries(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 5))
			f := newTestFleet(t, 12, seed)
			if seed%2 == 0 {
				f.log.SetFaults(standin.Faults{Down: true})
			} else {
				f.log.SetFaults(standin.Faults{LoseAnswer: 0.5, Refuse: 0.3})
				f.net.SetRefusing(f.members[rnd.IntN(12)].RPCAddr, true)
			}
			time.Sleep(time.Second)
			d := digest(int(seed))
			f.nodes[rnd.IntN(6)].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a1", Endpoint: "s1", Kind: api.CrashAlone})
			time.Sleep(time.Second)
			g.Expect(f.countVerdicts(d, Suspect)).To(gomega.BeNumerically(">=", 11), "seed %d", seed)
			f.nodes[6+rnd.IntN(6)].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a2", Endpoint: "s2", Kind: api.CrashAlone})
			time.Sleep(time.Second)
			g.Expect(f.countVerdicts(d, Quarantined)).To(gomega.BeNumerically(">=", 11), "seed %d", seed)
			time.Sleep(12 * syncInterval)
			g.Expect(f.countVerdicts(d, Quarantined)).To(gomega.Equal(12), "seed %d", seed)
		})
	}
}

// TestNode_LoadsEventsFromLog guards against the loss of events when all entries
// are replaced after the responses to most appends were lost.
func TestNode_LoadsEventsFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newTestFleet(t, 3, 1)
		f.log.SetFaults(standin.Faults{LoseAnswer: 0.9})
		d, cleared := digest(1), digest(2)
		f.nodes[0].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a1", Endpoint: "s1", Kind: api.CrashAlone})
		f.nodes[0].RecordCrash(Crash{Digest: cleared, Customer: "c", Attempt: "b1", Endpoint: "s1", Kind: api.CrashAlone})
		f.nodes[1].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a2", Endpoint: "s2", Kind: api.CrashAlone})
		f.nodes[2].RecordSuccess(cleared)
		time.Sleep(5 * time.Second)
		f.nodes[2].RecordSuccess(cleared)
		time.Sleep(5 * time.Second)
		f.log.SetFaults(standin.Faults{})
		restarted := newTestFleet(t, 0, 1)
		restarted.log = f.log
		restarted.members = membership.Static{{ID: "new", Role: infra.RoleEntry, RPCAddr: "10.0.1.1:90"}}
		restarted.nodes = []*Node{restarted.start(0)}
		time.Sleep(time.Second)
		g.Expect(restarted.countVerdicts(d, Quarantined)).To(gomega.Equal(1))
		g.Expect(restarted.countVerdicts(cleared, Clear)).To(gomega.Equal(1))
	})
}

// TestNode_LiftReachesAllEntries lifts a quarantine at an entry other than those
// that saw the crashes.
func TestNode_LiftReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newTestFleet(t, 6, 1)
		for i := range customerIsolationThreshold {
			for n := range SoloCrashThreshold {
				f.nodes[n].RecordCrash(Crash{Digest: digest(i), Customer: "c", Attempt: fmt.Sprint(i, n), Endpoint: "s", Kind: api.CrashAlone})
			}
		}
		time.Sleep(time.Second)
		g.Expect(f.countVerdicts(digest(0), Quarantined)).To(gomega.Equal(6))
		g.Expect(f.countVerdicts(digest(9), Suspect)).To(gomega.Equal(6), "all requests of the customer run as suspects")
		records := f.nodes[5].Records()
		g.Expect(records).To(gomega.HaveLen(customerIsolationThreshold))
		g.Expect(records[0].Crashes).To(gomega.Equal(SoloCrashThreshold))
		g.Expect(f.nodes[5].Lift(digest(0))).To(gomega.BeTrue())
		g.Expect(f.nodes[5].Lift(digest(9))).To(gomega.BeFalse())
		time.Sleep(time.Second)
		g.Expect(f.countVerdicts(digest(0), Clear)).To(gomega.Equal(6))
		g.Expect(f.countVerdicts(digest(9), Clear)).To(gomega.Equal(6), "the customer is no longer isolated")
	})
}
