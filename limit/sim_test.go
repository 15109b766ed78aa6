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

// sim runs the passive parts of many entries in virtual time, with a fake
// log, list and network between them.
type sim struct {
	rnd    *rand.Rand
	now    time.Time
	events eventQueue
	seq    int
	limits map[string]Limits
	policy policy

	records  []*Record
	logDown  bool
	logFlaky bool // appends are lost, land late or lose their answer
	logDelay time.Duration
	nodes    []*simNode
	lists    []listVersion
	listLag  time.Duration

	ledger  *AdmissionChecker // of all entries together
	over    []string
	stats   map[string]*simStats
	asks    int
	settles int
}

// policy is one of the ways that are compared.
type policy struct {
	name   string
	scheme Scheme
	shares int  // if not 0, of every customer
	strict bool // no request inside the rate may be refused in health
	static bool // every entry has 1/n of every bucket, and asks nobody
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
	id      string
	table   *Table
	minter  *Granter
	taker   *Acquirer
	static  map[string]*share
	cursor  int
	located bool
	dead    bool
	dropped bool // from the platform's list
	logCut  bool
	peerCut bool
	paused  bool
	parked  []func() // work that came during the pause
	listed  time.Time
	due     bool
	lag     time.Duration // of the list, added to that of all
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
		policy: p, ledger: NewAdmissionChecker(0), stats: make(map[string]*simStats), listLag: time.Second,
	}
	for id, l := range limits {
		l.fixed = p.shares
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

// latency is the time of one message.
func (s *sim) latency() time.Duration {
	return 300*time.Microsecond + time.Duration(s.rnd.ExpFloat64()*float64(500*time.Microsecond))
}

func (s *sim) add() *simNode {
	id := fmt.Sprintf("entry-%d", len(s.nodes))
	inv := invariant.New(func(v invariant.Violation) { s.over = append(s.over, v.Error()) })
	n := &simNode{sim: s, id: id, table: NewTable(id, id, s.now), minter: NewGranter(inv), static: make(map[string]*share)}
	n.taker = NewAcquirer(n.table, s.policy.scheme)
	n.minter.SetLimits(s.now, s.limits)
	s.nodes = append(s.nodes, n)
	s.publish()
	s.after(0, n.follow)
	s.after(0, n.tick)
	return n
}

// publish puts the entries that run on the platform's list.
func (s *sim) publish() {
	var list []infra.Instance
	for _, n := range s.nodes {
		if !n.dead && !n.dropped {
			list = append(list, infra.Instance{ID: n.id, RPCAddr: n.id, Role: infra.RoleEntry, State: infra.Live})
		}
	}
	s.lists = append(s.lists, listVersion{s.now, list})
}

// list is the platform's list as the node sees it now.
func (s *simNode) list() []infra.Instance {
	var seen []infra.Instance
	for _, v := range s.lists {
		if !v.at.Add(s.listLag+s.lag).After(s.now) || seen == nil {
			seen = v.list
		}
	}
	return seen
}

// exec runs work on the node: never if it is dead, after the pause if it is
// paused.
func (n *simNode) exec(work func()) {
	switch {
	case n.dead:
	case n.paused:
		n.parked = append(n.parked, work)
	default:
		work()
	}
}

func (n *simNode) resume() {
	n.paused = false
	parked := n.parked
	n.parked = nil
	for _, work := range parked {
		n.exec(work)
	}
}

func (n *simNode) tick() {
	n.exec(func() {
		n.table.Tick(n.now)
		n.after(MaxTickGap/4, n.tick)
	})
}

// follow reads the log to its end, and records what is planned.
func (n *simNode) follow() {
	n.exec(func() {
		start := n.now
		if n.now.Sub(n.listed) >= listEvery {
			n.listed = n.now
			n.table.SetInstances(n.now, n.list())
			n.due = true
		}
		n.after(n.latency()+n.logDelay, func() { n.exec(func() { n.readLog(start) }) })
		n.after(pollWait, n.follow)
	})
}

func (n *simNode) readLog(start time.Time) {
	if n.logDown || n.logCut {
		n.table.ReadFailed(n.now)
		return
	}
	if !n.located {
		n.located = true
		n.table.StartReplay(n.now, true)
	}
	for _, r := range n.records[n.cursor:] {
		n.table.Apply(n.now, r)
	}
	n.cursor = len(n.records)
	n.table.ConfirmRead(start, n.now)
	if n.due {
		n.due = false
		n.plan()
	}
}

// plan records what the table plans, without the takeovers whose previous
// holder answers.
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
	n.after(askTimeout, func() {
		n.exec(func() {
			plan.Takeovers = slices.DeleteFunc(plan.Takeovers, func(t Takeover) bool { return alive[t.Previous] })
			n.record(plan)
		})
	})
}

func (n *simNode) record(p Plan) {
	if r := prepare(n.now, p, n.table, n.minter); len(r.Claims) > 0 {
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

// request is one request of a customer through the node.
func (n *simNode) request(customer string) {
	start := n.now
	n.exec(func() {
		if n.policy.static {
			n.decide(customer, start, n.takeStatic(customer), nil)
			return
		}
		n.gather(customer, start, n.taker.Begin(n.now, customer, n.limits[customer]))
	})
}

func (n *simNode) gather(customer string, start time.Time, g *Acquisition) {
	step := g.Next(n.now)
	switch step.Action {
	case Wait:
		n.sendReturns(step.SettleCalls)
		n.after(step.Wait, func() { n.exec(func() { n.gather(customer, start, g) }) })
	case Take:
		left := len(step.TakeCalls)
		for _, a := range step.TakeCalls {
			n.ask(a, func(r *TakeReply) {
				if r == nil {
					g.HandleFailure(n.now, a)
				} else {
					g.HandleReply(n.now, a, *r)
				}
				if left--; left == 0 {
					n.gather(customer, start, g)
				}
			})
		}
	default:
		n.decide(customer, start, step.Action == Admit, g)
	}
}

// decide counts the end of a request.
func (n *simNode) decide(customer string, start time.Time, admitted bool, g *Acquisition) {
	l := n.limits[customer]
	stats := n.stats[customer]
	if admitted {
		stats.admitted++
		stats.latency += n.now.Sub(start)
		if !n.ledger.Check(n.now, customer, l) {
			n.over = append(n.over, fmt.Sprintf("%v %s over %+v", n.now, customer, l))
		}
	} else {
		stats.refused++
	}
	if g == nil {
		return
	}
	n.sendReturns(g.Finish(admitted))
}

func (n *simNode) sendReturns(returns []SettleCall) {
	for _, r := range returns {
		if r.Holder != n.id {
			n.settles++
		}
		n.send(r.Holder, func(to *simNode) {
			for _, x := range r.Args.Grants {
				to.minter.Settle(n.now, x)
			}
		})
	}
}

// ask sends an ask and calls done once: with the answer, or nil if none came
// in time.
func (n *simNode) ask(a TakeCall, done func(*TakeReply)) {
	over := false
	finish := func(r *TakeReply) {
		n.exec(func() {
			if !over {
				over = true
				done(r)
			}
		})
	}
	if a.Holder == n.id {
		r := n.take(n.now, a.Args)
		finish(&r)
		return
	}
	n.asks++
	n.after(askTimeout, func() { finish(nil) })
	n.send(a.Holder, func(to *simNode) {
		r := to.take(n.now, a.Args)
		to.send(n.id, func(*simNode) { finish(&r) })
	})
}

func (n *simNode) take(now time.Time, a TakeArgs) TakeReply {
	t, ok := n.table.Tenure(now, Partition(a.Customer, a.Share))
	if !ok {
		return TakeReply{}
	}
	return n.minter.Take(now, t, a)
}

// send delivers a message after some time, unless one side is cut off.
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
