package gossip

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against ages in random order, and against an entry that has timed out and is shown
// as one whose report counts.
func TestNode_ReportAges(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &Node{clock: func() time.Duration { return time.Minute }, peers: map[string]*peer{
		"c": {lastContact: 20 * time.Second, timedOut: true},
		"a": {lastContact: time.Minute - 30*time.Millisecond},
		"b": {lastContact: time.Minute},
	}}
	g.Expect(n.ReportAges()).To(gomega.Equal([]ReportAge{
		{Name: "a", Age: 30 * time.Millisecond}, {Name: "b"}, {Name: "c", Age: 40 * time.Second, TimedOut: true},
	}))
}
