package sidecar

import (
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
)

func TestOneSuspectAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	var s suspectSlot
	exit, e := s.enter(true)
	g.Expect(e).To(gomega.BeNil())
	_, e = s.enter(true)
	g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
	_, e = s.enter(false)
	g.Expect(e).To(gomega.BeNil())
	exit()
	_, e = s.enter(true)
	g.Expect(e).To(gomega.BeNil())
}
