package gossip

import (
	"cmp"
	"slices"
	"time"
)

// ReportAge says how old the last datagram of another entry is.
type ReportAge struct {
	Name     string
	Age      time.Duration
	TimedOut bool // its report is dropped
}

// ReportAges returns the ages of the datagrams of all entries that have sent one, by name.
func (n *Node) ReportAges() []ReportAge {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	ages := make([]ReportAge, 0, len(n.peers))
	for name, p := range n.peers {
		ages = append(ages, ReportAge{Name: name, Age: now - p.lastContact, TimedOut: p.timedOut})
	}
	slices.SortFunc(ages, func(a, b ReportAge) int { return cmp.Compare(a.Name, b.Name) })
	return ages
}
