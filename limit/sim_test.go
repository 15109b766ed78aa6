package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

// sim runs Table, Granter and Acquirer of many entries in virtual time, with a
// fake log, instance list and network between them.
type sim struct {
	rnd    *rand.Rand
	now    time.Time
	events eventQueue
	seq    int
	limits map[string]Limits
	policy policy

	records  []*Record
	logDown  bool
	logFlaky bool // a third of the appends are lost, and a third delayed by up to 5 s
	logDelay time.Duration
	nodes    []*simNode
	lists    []listVersion
	listLag  time.Duration

	checker     *AdmissionChecker // of all entries together
	violations  []string
	stats       map[string]*simStats
	takeCalls   int
	settleCalls int
}

// policy is one of the policies that TestSchemes compares.
type policy struct {
	name   string
	scheme Scheme
	shares int  // if not 0, the number of shares of every customer
	strict bool // no request within the rate may be refused without a fault
	static bool // every entry has 1/n of every bucket, and makes no take calls
}

type simStats struct {
	admitted, refused int
	latency           time.Duration
}

type listVersion struct {
	at   time.Time
	list []infra.Instance
}

type simNode struct {
	*sim
	id            string
	table         *Table
	granter       *Granter
	acquirer      *Acquirer
	static        map[string]*share
	nextRecord    int
	replayStarted bool
	killed        bool
	delisted      bool // removed from the instance list though it runs
	logCut        bool
	peerCut       bool
	paused        bool
	deferred      []func() // work that arrived during the pause
	listedAt      time.Time
	planDue       bool
	lag           time.Duration // of the instance list, in addition to sim.listLag
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSim(seed uint64, n int, p policy, limits map[string]Limits) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), limits: make(map[string]Limits),
		policy: p, checker: NewAdmissionChecker(0), stats: make(map[string]*simStats), listLag: time.Second,
	}
	for id, l := range limits {
		l.fixedShares = p.shares
		s.limits[id] = l
		s.stats[id] = &simStats{}
	}
	for range n {
		s.add()
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, run})
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// latency returns the transit time of one message.
func (s *sim) latency() time.Duration {
	return 300*time.Microsecond + time.Duration(s.rnd.ExpFloat64()*float64(500*time.Microsecond))
}

func (s *sim) add() *simNode {
	id := fmt.Sprintf("entry-%d", len(s.nodes))
	inv := invariant.New(func(v invariant.Violation) { s.violations = append(s.violations, v.Error()) })
	n := &simNode{sim: s, id: id, table: NewTable(id, id, s.now), granter: NewGranter(inv), static: make(map[string]*share)}
	n.acquirer = NewAcquirer(n.table, s.policy.scheme)
	n.granter.SetLimits(s.now, s.limits)
	s.nodes = append(s.nodes, n)
	s.publish()
	s.after(0, n.follow)
	s.after(0, n.tick)
	return n
}

// publish sets the instance list to the entries that run and are not delisted.
func (s *sim) publish() {
	var list []infra.Instance
	for _, n := range s.nodes {
		if !n.killed && !n.delisted {
			list = append(list, infra.Instance{ID: n.id, RPCAddr: n.id, Role: infra.RoleEntry, State: infra.Live})
		}
	}
	s.lists = append(s.lists, listVersion{s.now, list})
}

// list returns the instance list as the node sees it now.
func (n *simNode) list() []infra.Instance {
	var seen []infra.Instance
	for _, v := range n.lists {
		if !v.at.Add(n.listLag+n.lag).After(n.now) || seen == nil {
			seen = v.list
		}
	}
	return seen
}

// exec runs work on the node: never if the node is killed, and after the pause
// if it is paused.
func (n *simNode) exec(work func()) {
	switch {
	case n.killed:
	case n.paused:
		n.deferred = append(n.deferred, work)
	default:
		work()
	}
}

func (n *simNode) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, work := range deferred {
		n.exec(work)
	}
}

func (n *simNode) tick() {
	n.exec(func() {
		n.table.Tick(n.now)
		n.after(MaxTickGap/4, n.tick)
	})
}

// follow reads the log to its end and appends what is planned.
func (n *simNode) follow() {
	n.exec(func() {
		start := n.now
		if n.now.Sub(n.listedAt) >= listInterval {
			n.listedAt = n.now
			n.table.SetInstances(n.now, n.list())
			n.planDue = true
		}
		n.after(n.latency()+n.logDelay, func() { n.exec(func() { n.readLog(start) }) })
		n.after(longPollWait, n.follow)
	})
}

func (n *simNode) readLog(start time.Time) {
	if n.logDown || n.logCut {
		n.table.LogFailed(n.now)
		return
	}
	if !n.replayStarted {
		n.replayStarted = true
		n.table.StartReplay(n.now, true)
	}
	for _, r := range n.records[n.nextRecord:] {
		n.table.Apply(n.now, r)
	}
	n.nextRecord = len(n.records)
	n.table.ConfirmRead(start, n.now)
	if n.planDue {
		n.planDue = false
		n.plan()
	}
}

// plan appends what the table plans, without the takeovers whose previous
// holder replies.
func (n *simNode) plan() {
	plan := n.table.Plan(n.now, false)
	if len(plan.Takeovers) == 0 {
		n.record(plan)
		return
	}
	alive := make(map[string]bool)
	for _, t := range plan.Takeovers {
		n.send(t.Previous, func(to *simNode) { to.send(n.id, func(*simNode) { alive[to.id] = true }) })
	}
	n.after(takeTimeout, func() {
		n.exec(func() {
			plan.Takeovers = slices.DeleteFunc(plan.Takeovers, func(t Takeover) bool { return alive[t.Previous] })
			n.record(plan)
		})
	})
}

func (n *simNode) record(p Plan) {
	if r := prepareRecord(n.now, p, n.table, n.granter); len(r.Claims) > 0 {
		n.append(r)
	}
}

func (n *simNode) append(r *Record) {
	delay := n.latency() + n.logDelay
	if n.logFlaky {
		switch n.rnd.IntN(3) {
		case 0:
			return
		case 1:
			delay += time.Duration(n.rnd.Int64N(int64(5 * time.Second)))
		}
	}
	n.after(delay, func() {
		if !n.logDown {
			n.records = append(n.records, r)
			for _, reader := range n.nodes {
				start := n.now
				n.after(n.latency()+n.logDelay, func() { reader.exec(func() { reader.readLog(start) }) })
			}
		}
	})
}

// request sends one request of a customer through the node.
func (n *simNode) request(customer string) {
	start := n.now
	n.exec(func() {
		if n.policy.static {
			n.decide(customer, start, n.takeStatic(customer), nil)
			return
		}
		n.advanceAcquisition(customer, start, n.acquirer.Begin(n.now, customer, n.limits[customer]))
	})
}

func (n *simNode) advanceAcquisition(customer string, start time.Time, acq *Acquisition) {
	step := acq.Next(n.now)
	switch step.Action {
	case Wait:
		n.sendSettleCalls(step.SettleCalls)
		n.after(step.Wait, func() { n.exec(func() { n.advanceAcquisition(customer, start, acq) }) })
	case Take:
		left := len(step.TakeCalls)
		for _, call := range step.TakeCalls {
			n.sendTakeCall(call, func(r *TakeReply) {
				if r == nil {
					acq.HandleFailure(n.now, call)
				} else {
					acq.HandleReply(n.now, call, *r)
				}
				if left--; left == 0 {
					n.advanceAcquisition(customer, start, acq)
				}
			})
		}
	default:
		n.decide(customer, start, step.Action == Admit, acq)
	}
}

// decide counts the outcome of a request and settles its grants.
func (n *simNode) decide(customer string, start time.Time, admitted bool, acq *Acquisition) {
	l := n.limits[customer]
	stats := n.stats[customer]
	if admitted {
		stats.admitted++
		stats.latency += n.now.Sub(start)
		if !n.checker.Check(n.now, customer, l) {
			n.violations = append(n.violations, fmt.Sprintf("%v: customer %s admitted more than %+v", n.now, customer, l))
		}
	} else {
		stats.refused++
	}
	if acq == nil {
		return
	}
	n.sendSettleCalls(acq.Finish(admitted))
}

func (n *simNode) sendSettleCalls(calls []SettleCall) {
	for _, call := range calls {
		if call.Holder != n.id {
			n.settleCalls++
		}
		n.send(call.Holder, func(to *simNode) {
			for _, settlement := range call.Args.Grants {
				to.granter.Settle(n.now, settlement)
			}
		})
	}
}

// sendTakeCall sends a take call and calls done once: with the reply, or with
// nil if none arrived within takeTimeout.
func (n *simNode) sendTakeCall(call TakeCall, done func(*TakeReply)) {
	finished := false
	finish := func(r *TakeReply) {
		n.exec(func() {
			if !finished {
				finished = true
				done(r)
			}
		})
	}
	if call.Holder == n.id {
		r := n.take(n.now, call.Args)
		finish(&r)
		return
	}
	n.takeCalls++
	n.after(takeTimeout, func() { finish(nil) })
	n.send(call.Holder, func(to *simNode) {
		r := to.take(n.now, call.Args)
		to.send(n.id, func(*simNode) { finish(&r) })
	})
}

func (n *simNode) take(now time.Time, a TakeArgs) TakeReply {
	t, ok := n.table.Tenure(now, Partition(a.Customer, a.Share))
	if !ok {
		return TakeReply{}
	}
	return n.granter.Take(now, t, a)
}

// send delivers a message after its transit time, unless one side is cut off
// from its peers.
func (n *simNode) send(to string, work func(*simNode)) {
	i := slices.IndexFunc(n.nodes, func(o *simNode) bool { return o.id == to })
	other := n.nodes[i]
	delay := n.latency()
	if other == n {
		delay = 0
	}
	n.after(delay, func() {
		if other == n || !n.peerCut && !other.peerCut {
			other.exec(func() { work(other) })
		}
	})
}

func (n *simNode) takeStatic(customer string) bool {
	s, ok := n.static[customer]
	if !ok {
		l := n.limits[customer]
		parts := float64(len(n.nodes))
		s = newShare(0, Limits{Rate: l.Rate / parts, Burst: l.Burst / parts}, time.Time{}, n.now)
		n.static[customer] = s
	}
	s.advance(n.now)
	if s.level < 1-epsilon {
		return false
	}
	s.level--
	return true
}
