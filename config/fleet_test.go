package config_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/standin/network"
	standin "dandelionrelay/standin/platform"
)

// Targets for a change to be in force on every process.
const (
	targetLogUp       = 2 * time.Second
	targetOneLogDown  = 8 * time.Second
	bytesBudget       = 4096 // a second and node, for all control traffic
	perDataCentre     = 4
	fleetDataCentres  = 3
	sidecarsPerCentre = 2
)

// cutLog is the log as one process reaches it.
type cutLog struct {
	infra.Log
	down atomic.Bool
	hang atomic.Bool // reads are not answered at all
	uses atomic.Uint64
}

func (c *cutLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	c.uses.Add(1)
	if c.hang.Load() {
		<-ctx.Done()
	}
	if c.down.Load() {
		return nil, infra.Unavailable.New("cut off")
	}
	records, err := c.Log.Read(ctx, stream, from, limit, wait)
	if c.down.Load() {
		return nil, infra.Unavailable.New("cut off")
	}
	return records, err
}

func (c *cutLog) Bounds(ctx context.Context, stream string) (infra.Offset, infra.Offset, error) {
	if c.down.Load() {
		return 0, 0, infra.Unavailable.New("cut off")
	}
	return c.Log.Bounds(ctx, stream)
}

func (c *cutLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	if c.down.Load() {
		return 0, infra.Unavailable.New("cut off")
	}
	return c.Log.Append(ctx, stream, id, data)
}

// countedConn counts the bytes of both directions. What comes from a paused
// peer stays unread.
type countedConn struct {
	net.Conn
	bytes  *atomic.Uint64
	paused *atomic.Bool
	closed *atomic.Bool
}

func (c countedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.paused.Load() {
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// node is one entry of a fleet in memory.
type node struct {
	self     infra.Instance
	log      *cutLog
	holder   config.Holder
	follower *config.Follower
	stop     context.CancelFunc
}

// fleet is entries and sidecars in memory, joined by net/rpc.
type fleet struct {
	t        *testing.T
	log      *standin.Log
	net      *network.Network
	checks   *invariant.Set
	members  membership.Static
	nodes    []*node
	sidecars []*config.Holder
	paused   map[string]*atomic.Bool
	bytes    atomic.Uint64 // between all peers, counted at the caller
}

func newFleet(t *testing.T, retention time.Duration) *fleet {
	// Runs last: everything that was stopped comes to its end.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	f := &fleet{t: t, log: standin.NewLog(retention, 1), net: network.New(), checks: failOn(t), paused: make(map[string]*atomic.Bool)}
	for dc := range fleetDataCentres {
		for i := range perDataCentre {
			id := fmt.Sprintf("entry-%d-%d", dc, i)
			f.paused[id] = new(atomic.Bool)
			f.members = append(f.members, infra.Instance{
				ID: id, Role: infra.RoleEntry, State: infra.Live, DataCentre: fmt.Sprint("dc", dc), RPCAddr: id,
			})
		}
	}
	for _, self := range f.members {
		f.nodes = append(f.nodes, f.start(self, retention))
	}
	for dc := range fleetDataCentres {
		for i := range sidecarsPerCentre {
			f.startSidecar(fmt.Sprintf("sidecar-%d-%d", dc, i), fmt.Sprint("dc", dc))
		}
	}
	return f
}

func (f *fleet) pool() *peer.Pool {
	pool := peer.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := f.net.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &f.bytes, f.paused[addr], new(atomic.Bool)}, nil
	})
	f.t.Cleanup(pool.Close)
	return pool
}

// start runs the entry self. A process that ran under that name before must
// have been stopped.
func (f *fleet) start(self infra.Instance, retention time.Duration) *node {
	ctx, cancel := context.WithCancel(f.t.Context())
	n := &node{self: self, log: &cutLog{Log: f.log}}
	n.follower = config.NewFollower(n.log, &n.holder, f.checks, nil)
	n.follower.Join(config.Fleet{Self: self, Members: f.members, Peers: f.pool(), Retention: retention})
	server := peer.NewServer()
	server.Register(config.ServiceName, config.NewService(n.follower))
	listener := f.net.Listen(self.RPCAddr)
	go server.Serve(listener)
	n.stop = func() {
		cancel()
		_ = listener.Close()
		server.Close()
	}
	f.t.Cleanup(n.stop)
	go n.follower.Run(ctx)
	return n
}

func (f *fleet) startSidecar(id, dataCentre string) {
	holder := new(config.Holder)
	f.sidecars = append(f.sidecars, holder)
	self := infra.Instance{ID: id, Role: infra.RoleSidecar, DataCentre: dataCentre, Deployment: "m"}
	viewer := config.NewViewer(config.Fleet{Self: self, Members: f.members, Peers: f.pool()}, holder, nil)
	go viewer.Run(f.t.Context())
}

// change applies a change through an entry and returns the verdict.
func (f *fleet) change(g *gomega.WithT, n *node, slots int) config.AuditEntry {
	f.t.Helper()
	state := withCustomers(8, 1)
	state.Deployments = map[string]config.Deployment{"m": {Kind: config.KindModel, Model: "bean", Slots: slots}}
	entry, err := n.follower.Propose(f.t.Context(), n.holder.Current().Version, state, "ann")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
	return entry
}

// expectSlots waits for a change to be in force everywhere within the target.
func (f *fleet) expectSlots(g *gomega.WithT, slots int, within time.Duration, when string) {
	f.t.Helper()
	start := time.Now()
	for {
		missing := f.without(slots)
		if missing == "" {
			f.t.Logf("%s: in force everywhere after %v", when, time.Since(start))
			return
		}
		if time.Since(start) > within {
			g.Expect(missing).To(gomega.BeEmpty(), "%s: not in force after %v", when, within)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// without names a process that does not have the change.
func (f *fleet) without(slots int) string {
	for _, n := range f.nodes {
		if n.holder.Current().State.Deployments["m"].Slots != slots {
			return n.self.ID
		}
	}
	for i, s := range f.sidecars {
		if s.Current().State.Deployments["m"].Slots != slots {
			return fmt.Sprint("sidecar ", i)
		}
	}
	return ""
}

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		f.expectSlots(g, 1, targetLogUp, "log up")

		reading := 0
		for _, n := range f.nodes {
			n.log.uses.Store(0)
		}
		f.bytes.Store(0)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			if n.log.uses.Load() > 0 {
				reading++
			}
		}
		g.Expect(reading).To(gomega.Equal(fleetDataCentres * config.ReadersPerDataCentre))
		perNode := float64(f.bytes.Load()) / 60 / float64(len(f.nodes))
		t.Logf("idle: %.0f bytes/s an entry, sent and received, calls of sidecars included", perNode)
		g.Expect(perNode).To(gomega.BeNumerically("<", bytesBudget))

		// The same with changes: two in a minute, as at 3,000 a day.
		f.bytes.Store(0)
		slots := 1
		for range 2 {
			slots++
			f.change(g, f.nodes[1], slots)
			time.Sleep(30 * time.Second)
		}
		perNode = float64(f.bytes.Load()) / 60 / float64(len(f.nodes))
		t.Logf("3,000 changes a day: %.0f bytes/s an entry", perNode)
		g.Expect(perNode).To(gomega.BeNumerically("<", bytesBudget))

		// Every reader in turn loses the log, with the change made elsewhere.
		for i, n := range f.nodes {
			n.log.down.Store(true)
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "log down for "+n.self.ID)
			n.log.down.Store(false)

			n.log.hang.Store(true)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "log silent for "+n.self.ID)
			n.log.hang.Store(false)

			f.paused[n.self.ID].Store(true)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "answers held back at "+n.self.ID)
			f.paused[n.self.ID].Store(false)
		}

		// A whole data centre loses the log.
		for _, n := range f.nodes[:perDataCentre] {
			n.log.down.Store(true)
		}
		slots++
		f.change(g, f.nodes[perDataCentre], slots)
		f.expectSlots(g, slots, targetOneLogDown, "log down for a data centre")
	})
}

func TestStartDuringAnOutageComesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		f.expectSlots(g, 1, targetLogUp, "log up")
		f.log.SetFaults(standin.Faults{Down: true})

		// Every entry is replaced, one after the other.
		for i, old := range f.nodes {
			old.stop()
			time.Sleep(time.Second)
			f.nodes[i] = f.start(old.self, 0)
			f.expectSlots(g, 1, targetOneLogDown, "log down, replaced "+old.self.ID)
		}
		f.log.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[5], 2)
		f.expectSlots(g, 2, targetLogUp, "log up again")
	})
}

func TestStateOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 10 * time.Minute
		g := gomega.NewWithT(t)
		f := newFleet(t, retention)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		time.Sleep(3 * retention)
		appended := f.log.Appends()
		t.Logf("%d records appended in 3 retention times", appended)
		// The change, and a snapshot each quarter of retention at most.
		g.Expect(appended).To(gomega.BeNumerically("<=", 1+3*4+1))

		// All entries go at once: only the log is left.
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(time.Second)
		for i, n := range f.nodes {
			f.nodes[i] = f.start(n.self, retention)
		}
		f.expectSlots(g, 1, targetOneLogDown, "all entries replaced")
		g.Expect(f.nodes[0].follower.Audit()).To(gomega.HaveLen(1))
		f.change(g, f.nodes[1], 2)
		f.expectSlots(g, 2, targetLogUp, "after the replacement")
	})
}
