package sidecar

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
)

// Guards against a limit that ends before the endpoint has stopped being cold: its
// statement is rounded, and all that waits starts at the end of the limit.
func TestColdState_LastsLongerThanStated(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := config.Deployment{ColdRate: 23, ColdTime: config.Duration(10 * time.Second)}
	c := coldState{startedAt: start}
	until := func(now time.Time) time.Duration {
		rate, until := c.limit(now, d)
		g.Expect(rate).To(gomega.Equal(23.0))
		return until.Sub(start)
	}
	g.Expect(until(start)).To(gomega.Equal(10 * time.Second))
	now := start.Add(2 * time.Second)
	g.Expect(c.observe(now, "4999", d)).To(gomega.BeTrue())
	g.Expect(until(now)).To(gomega.BeNumerically(">", 7*time.Second))
	c.restarted()
	g.Expect(until(now)).To(gomega.Equal(12*time.Second), "lost: the cold time begins when it returns")
	g.Expect(c.observe(now, "", d)).To(gomega.BeTrue())
	now = start.Add(5 * time.Second)
	g.Expect(c.observe(now, "", d)).To(gomega.BeTrue())
	g.Expect(until(now)).To(gomega.Equal(12*time.Second), "a response without a statement changes nothing")
	g.Expect(c.observe(now, "0", d)).To(gomega.BeTrue())
	g.Expect(until(now)).To(gomega.Equal(5 * time.Second))
	rate, _ := c.limit(now, config.Deployment{ColdRate: 23})
	g.Expect(rate).To(gomega.BeZero(), "no cold time")
}
