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

// fleet is n entries with nodes over a network in memory.
type fleet struct {
	t       *testing.T
	net     *network.Network
	log     *standin.Log
	members membership.Static
	nodes   []*Node
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{t: t, net: network.New(), log: standin.NewLog(0, seed)}
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

func (f *fleet) start(i int) *Node {
	self := f.members[i]
	pool := peer.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return f.net.DialContext(ctx, "tcp", addr)
	})
	node := NewNode(Deps{ID: self.ID, DataCentre: self.DataCentre, Log: f.log, Members: f.members, Peers: pool})
	server := peer.NewServer()
	server.Register(ServiceName, node.Service())
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

// knowing counts the nodes with that verdict on d.
func (f *fleet) knowing(d Digest, v Verdict) int {
	n := 0
	for _, node := range f.nodes {
		if node.Verdict(d, "c") == v {
			n++
		}
	}
	return n
}

// TestSecondDeathCountsInTheFleet has two entries see one death each, with
// the log or the peers of some entries out of reach.
func TestSecondDeathCountsInTheFleet(t *testing.T) {
	for seed := range uint64(*seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 5))
			f := newFleet(t, 12, seed)
			if seed%2 == 0 {
				f.log.SetFaults(standin.Faults{Down: true})
			} else {
				f.log.SetFaults(standin.Faults{LoseAnswer: 0.5, Refuse: 0.3})
				f.net.Refuse(f.members[rnd.IntN(12)].RPCAddr, true)
			}
			time.Sleep(time.Second)
			d := digest(int(seed))
			f.nodes[rnd.IntN(6)].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a1", Endpoint: "s1", Kind: api.CrashAlone})
			time.Sleep(time.Second)
			g.Expect(f.knowing(d, Suspect)).To(gomega.BeNumerically(">=", 11), "seed %d", seed)
			f.nodes[6+rnd.IntN(6)].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a2", Endpoint: "s2", Kind: api.CrashAlone})
			time.Sleep(time.Second)
			g.Expect(f.knowing(d, Quarantined)).To(gomega.BeNumerically(">=", 11), "seed %d", seed)
			time.Sleep(12 * syncInterval)
			g.Expect(f.knowing(d, Quarantined)).To(gomega.Equal(12), "seed %d", seed)
		})
	}
}

// TestNewFleetTakesOverFromTheLog replaces every entry.
func TestNewFleetTakesOverFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 3, 1)
		f.log.SetFaults(standin.Faults{LoseAnswer: 0.9})
		d, innocent := digest(1), digest(2)
		f.nodes[0].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a1", Endpoint: "s1", Kind: api.CrashAlone})
		f.nodes[0].RecordCrash(Crash{Digest: innocent, Customer: "c", Attempt: "b1", Endpoint: "s1", Kind: api.CrashAlone})
		f.nodes[1].RecordCrash(Crash{Digest: d, Customer: "c", Attempt: "a2", Endpoint: "s2", Kind: api.CrashAlone})
		f.nodes[2].RecordSuccess(innocent)
		time.Sleep(5 * time.Second)
		f.nodes[2].RecordSuccess(innocent)
		time.Sleep(5 * time.Second)
		f.log.SetFaults(standin.Faults{})
		next := newFleet(t, 0, 1)
		next.log = f.log
		next.members = membership.Static{{ID: "new", Role: infra.RoleEntry, RPCAddr: "10.0.1.1:90"}}
		next.nodes = []*Node{next.start(0)}
		time.Sleep(time.Second)
		g.Expect(next.knowing(d, Quarantined)).To(gomega.Equal(1))
		g.Expect(next.knowing(innocent, Clear)).To(gomega.Equal(1))
	})
}

// TestLiftedEverywhere lifts a quarantine at an entry other than those that
// saw the deaths.
func TestLiftedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 6, 1)
		for i := range maxCondemned {
			for n := range SoloCrashThreshold {
				f.nodes[n].RecordCrash(Crash{Digest: digest(i), Customer: "c", Attempt: fmt.Sprint(i, n), Endpoint: "s", Kind: api.CrashAlone})
			}
		}
		time.Sleep(time.Second)
		g.Expect(f.knowing(digest(0), Quarantined)).To(gomega.Equal(6))
		g.Expect(f.knowing(digest(9), Suspect)).To(gomega.Equal(6), "the customer is confined")
		held := f.nodes[5].Held()
		g.Expect(held).To(gomega.HaveLen(maxCondemned))
		g.Expect(held[0].Crashes).To(gomega.Equal(SoloCrashThreshold))
		g.Expect(f.nodes[5].Lift(digest(0))).To(gomega.BeTrue())
		g.Expect(f.nodes[5].Lift(digest(9))).To(gomega.BeFalse())
		time.Sleep(time.Second)
		g.Expect(f.knowing(digest(0), Clear)).To(gomega.Equal(6))
		g.Expect(f.knowing(digest(9), Clear)).To(gomega.Equal(6), "nor is the customer confined")
	})
}
