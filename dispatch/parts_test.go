package dispatch

import (
	"bufio"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

func TestReadEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	long := "data: " + strings.Repeat("x", 3*eventBufferBytes) + "\n\n"
	in := bufio.NewReaderSize(strings.NewReader("data: a\r\n\r\n: note\ndata: b\n\n"+long+"data: half"), 16)
	for _, want := range []string{"data: a\r\n\r\n", ": note\ndata: b\n\n", long} {
		got, err := readEvent(in, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(want))
	}
	_, err := readEvent(in, nil)
	g.Expect(err).To(gomega.MatchError(errPartialEvent))
	_, err = readEvent(in, nil)
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

func TestWithResume_AddsDeliveredText(t *testing.T) {
	g := gomega.NewWithT(t)
	var s stream
	s.text.WriteString("ab")
	s.tokens = 2
	out, err := withResume([]byte(`{"resume":{"text":"old","tokens":9},"x":1}`), s.resumePosition(&api.Resume{Text: "0", Tokens: 1}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out).To(gomega.MatchJSON(`{"x":1,"resume":{"text":"0ab","tokens":3}}`))
}

func TestRetryBudget_BoundsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewRetryBudget()
	retries := 0
	const calls = 1000
	for range calls {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	g.Expect(retries).To(gomega.BeNumerically("<=", RetryBurst+RetryFraction*calls))
}

func instance(id, dc string) infra.Instance {
	return infra.Instance{ID: id, DataCentre: dc, State: infra.Live}
}

func TestPicker_PrefersLocalThenShortWait(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loads := NewLoads()
	p := NewPicker(loads)
	rnd := rand.New(rand.NewPCG(1, 1))
	local, remote := instance("local", "a"), instance("remote", "b")
	q := &Query{
		Now: now, Slots: 8, Usable: func(string) bool { return true },
		Subset: membership.Subset{Local: []infra.Instance{local}, Remote: []infra.Instance{remote}},
	}
	pick := func() string {
		i, _ := p.Pick(q, rnd)
		return i.ID
	}
	g.Expect(pick()).To(gomega.Equal("local"))
	loads.Begin(local, true, now)
	loads.RecordQueueWait("local", 10*RemoteLatency, now)
	g.Expect(pick()).To(gomega.Equal("remote"))
	q.Now = now.Add(10 * RemoteLatency)
	g.Expect(pick()).To(gomega.Equal("local"), "the reported queue wait has elapsed")
	q.Suspect = true
	g.Expect(pick()).To(gomega.Equal("remote"), "another suspect runs at the local endpoint")
	q.Exclude = []string{"remote"}
	g.Expect(pick()).To(gomega.Equal("local"), "the remote endpoint is excluded")
}
