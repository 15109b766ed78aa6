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

// Targets for the time until a change is in force at every process, limits, and
// the size of the fleet.
const (
	targetLogUp           = 2 * time.Second
	targetOneLogDown      = 8 * time.Second
	maxBytesPerSecond     = 4096 // per second and entry, for all control traffic
	entriesPerDataCentre  = 4
	fleetDataCentres      = 3
	sidecarsPerDataCentre = 2
)

// faultyLog is the connection of one process to the log, with injectable faults.
type faultyLog struct {
	infra.Log
	down  atomic.Bool // calls fail
	hang  atomic.Bool // reads do not return before their deadline
	reads atomic.Uint64
}

func (c *faultyLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	c.reads.Add(1)
	if c.hang.Load() {
		<-ctx.Done()
	}
	if c.down.Load() {
		return nil, infra.Unavailable.New("log is unreachable from this process")
	}
	records, err := c.Log.Read(ctx, stream, from, limit, wait)
	if c.down.Load() {
		return nil, infra.Unavailable.New("log is unreachable from this process")
	}
	return records, err
}

func (c *faultyLog) Bounds(ctx context.Context, stream string) (infra.Offset, infra.Offset, error) {
	if c.down.Load() {
		return 0, 0, infra.Unavailable.New("log is unreachable from this process")
	}
	return c.Log.Bounds(ctx, stream)
}

func (c *faultyLog) Append(ctx context.Context, stream, id string, data []byte) (infra.Offset, error) {
	if c.down.Load() {
		return 0, infra.Unavailable.New("log is unreachable from this process")
	}
	return c.Log.Append(ctx, stream, id, data)
}

// countingConn counts the bytes of both directions. While the peer is paused,
// reads block.
type countingConn struct {
	net.Conn
	bytes  *atomic.Uint64
	paused *atomic.Bool
	closed *atomic.Bool
}

func (c countingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c countingConn) Read(p []byte) (int, error) {
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

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// node is one entry of an in-memory fleet.
type node struct {
	self     infra.Instance
	log      *faultyLog
	holder   config.Holder
	follower *config.Follower
	stop     context.CancelFunc
}

// fleet is an in-memory fleet of entries and sidecars that communicate by
// net/rpc.
type fleet struct {
	t          *testing.T
	log        *standin.Log
	net        *network.Network
	invariants *invariant.Set
	members    membership.Static
	nodes      []*node
	sidecars   []*config.Holder
	paused     map[string]*atomic.Bool
	bytes      atomic.Uint64 // between all peers, counted at the caller
}

func newFleet(t *testing.T, retention time.Duration) *fleet {
	// Runs last, so that the goroutines of everything that was stopped end.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	f := &fleet{t: t, log: standin.NewLog(retention, 1), net: network.New(), invariants: newInvariants(t), paused: make(map[string]*atomic.Bool)}
	for dc := range fleetDataCentres {
		for i := range entriesPerDataCentre {
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
		for i := range sidecarsPerDataCentre {
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
		return countingConn{conn, &f.bytes, f.paused[addr], new(atomic.Bool)}, nil
	})
	f.t.Cleanup(pool.Close)
	return pool
}

// start runs the entry self. An earlier process with the same ID must have been
// stopped before.
func (f *fleet) start(self infra.Instance, retention time.Duration) *node {
	ctx, cancel := context.WithCancel(f.t.Context())
	n := &node{self: self, log: &faultyLog{Log: f.log}}
	n.follower = config.NewFollower(n.log, &n.holder, f.invariants, nil)
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

// change proposes a change through an entry and expects it to be accepted.
func (f *fleet) change(g *gomega.WithT, n *node, slots int) config.AuditEntry {
	f.t.Helper()
	state := withCustomers(8, 1)
	state.Deployments = map[string]config.Deployment{"m": {Kind: config.KindModel, Model: "bean", Slots: slots}}
	entry, err := n.follower.Propose(f.t.Context(), n.holder.Current().Version, state, "ann")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
	return entry
}

// expectSlots expects the change to the given slots to be in force at every
// process within the given time.
func (f *fleet) expectSlots(g *gomega.WithT, slots int, within time.Duration, when string) {
	f.t.Helper()
	start := time.Now()
	for {
		lagging := f.laggingProcess(slots)
		if lagging == "" {
			f.t.Logf("%s: in force at every process after %v", when, time.Since(start))
			return
		}
		if time.Since(start) > within {
			g.Expect(lagging).To(gomega.BeEmpty(), "%s: process without the change after %v", when, within)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// laggingProcess returns the name of a process at which the change is not in
// force, or an empty string.
func (f *fleet) laggingProcess(slots int) string {
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

// TestFollower_ChangeReachesAllProcessesInTime checks the propagation time of
// changes with the log available, with each entry in turn without the log or with
// delayed responses, and with a whole data centre without the log. It also checks
// the number of log readers and the control traffic per entry.
func TestFollower_ChangeReachesAllProcessesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		f.expectSlots(g, 1, targetLogUp, "log available")

		readers := 0
		for _, n := range f.nodes {
			n.log.reads.Store(0)
		}
		f.bytes.Store(0)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			if n.log.reads.Load() > 0 {
				readers++
			}
		}
		g.Expect(readers).To(gomega.Equal(fleetDataCentres * config.ReadersPerDataCentre))
		perNode := float64(f.bytes.Load()) / 60 / float64(len(f.nodes))
		t.Logf("idle: %.0f bytes/s per entry, sent and received, including calls of sidecars", perNode)
		g.Expect(perNode).To(gomega.BeNumerically("<", maxBytesPerSecond))

		// The same with two changes per minute, the rate of about 3,000 per day.
		f.bytes.Store(0)
		slots := 1
		for range 2 {
			slots++
			f.change(g, f.nodes[1], slots)
			time.Sleep(30 * time.Second)
		}
		perNode = float64(f.bytes.Load()) / 60 / float64(len(f.nodes))
		t.Logf("3,000 changes per day: %.0f bytes/s per entry", perNode)
		g.Expect(perNode).To(gomega.BeNumerically("<", maxBytesPerSecond))

		// Each entry in turn loses the log, gets no response from it, or has its
		// responses delayed, while the change is made through another entry.
		for i, n := range f.nodes {
			n.log.down.Store(true)
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "log unavailable for "+n.self.ID)
			n.log.down.Store(false)

			n.log.hang.Store(true)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "log does not respond to "+n.self.ID)
			n.log.hang.Store(false)

			f.paused[n.self.ID].Store(true)
			slots++
			f.change(g, f.nodes[(i+1)%len(f.nodes)], slots)
			f.expectSlots(g, slots, targetOneLogDown, "responses delayed at "+n.self.ID)
			f.paused[n.self.ID].Store(false)
		}

		// A whole data centre loses the log.
		for _, n := range f.nodes[:entriesPerDataCentre] {
			n.log.down.Store(true)
		}
		slots++
		f.change(g, f.nodes[entriesPerDataCentre], slots)
		f.expectSlots(g, slots, targetOneLogDown, "log unavailable for a data centre")
	})
}

// TestFollower_StartsFromPeersDuringLogOutage replaces every entry while the log
// is unavailable: the new processes must get the state from peers.
func TestFollower_StartsFromPeersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		f.expectSlots(g, 1, targetLogUp, "log available")
		f.log.SetFaults(standin.Faults{Down: true})

		// Replace the entries one after another.
		for i, old := range f.nodes {
			old.stop()
			time.Sleep(time.Second)
			f.nodes[i] = f.start(old.self, 0)
			f.expectSlots(g, 1, targetOneLogDown, "log unavailable, replaced "+old.self.ID)
		}
		f.log.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[5], 2)
		f.expectSlots(g, 2, targetLogUp, "log available again")
	})
}

// TestFollower_StateOutlivesRetention checks that snapshots keep the state and the
// audit trail in the log after the record of the change has expired, so that a
// fleet that restarts as a whole gets them back, and that snapshots are appended
// at most once per quarter of the retention time.
func TestFollower_StateOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 10 * time.Minute
		g := gomega.NewWithT(t)
		f := newFleet(t, retention)
		time.Sleep(10 * time.Second)
		f.change(g, f.nodes[0], 1)
		time.Sleep(3 * retention)
		appended := f.log.Appends()
		t.Logf("%d records appended within 3 retention times", appended)
		// The change, and at most one snapshot per quarter of the retention time.
		g.Expect(appended).To(gomega.BeNumerically("<=", 1+3*4+1))

		// Stop all entries at once, so that only the log has the state.
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(time.Second)
		for i, n := range f.nodes {
			f.nodes[i] = f.start(n.self, retention)
		}
		f.expectSlots(g, 1, targetOneLogDown, "all entries restarted")
		g.Expect(f.nodes[0].follower.Audit()).To(gomega.HaveLen(1))
		f.change(g, f.nodes[1], 2)
		f.expectSlots(g, 2, targetLogUp, "after the restart")
	})
}
