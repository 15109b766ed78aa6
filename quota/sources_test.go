package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A source that becomes known by partial reports is charged for what grows from then on,
// not for what it counted before, whichever report names a customer first.
func TestSources_UnknownSourceBeginsAtItsFirstReports(t *testing.T) {
	g := gomega.NewWithT(t)
	s := make(sources)
	update := func(incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
		increase, _ := s.update(0, "x", incarnation, counts, r)
		return increase
	}
	a, b, c := KeyOf("a"), KeyOf("b"), KeyOf("c")
	g.Expect(update(1, map[Key]Count{a: 70}, Report{})).To(gomega.BeEmpty())
	g.Expect(update(1, map[Key]Count{a: 73, b: 9}, Report{})).To(gomega.Equal(map[Key]int32{a: 3}))
	g.Expect(update(1, map[Key]Count{a: 73, b: 9, c: 40}, Report{Full: true})).To(gomega.BeEmpty())
	d := KeyOf("d")
	g.Expect(update(1, map[Key]Count{c: 41, d: 2}, Report{})).To(gomega.Equal(map[Key]int32{c: 1, d: 2}), "a customer that a full report left out begins at zero")
	g.Expect(update(2, map[Key]Count{a: 4}, Report{})).To(gomega.Equal(map[Key]int32{a: 4}), "after a restart")
}

// The first report after a restart is charged in full: all that it holds was admitted
// lately, however long the source was silent.
func TestSources_RestartIsNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	s := make(sources)
	s.update(time.Minute, "x", 1, nil, Report{Full: true})
	_, silence := s.update(time.Minute+8*time.Second, "x", 1, nil, Report{Full: true})
	g.Expect(silence).To(gomega.Equal(8 * time.Second))
	increase, silence := s.update(2*time.Minute, "x", 2, map[Key]Count{KeyOf("a"): 4}, Report{})
	g.Expect(increase).To(gomega.HaveKeyWithValue(KeyOf("a"), int32(4)))
	g.Expect(silence).To(gomega.BeZero())
}
