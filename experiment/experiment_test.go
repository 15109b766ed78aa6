package experiment

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/settings"
)

// TestRun_InjectsScheduledFaults injects faults of each kind and checks that each fault
// shows in the progress output, that the run completes and that requests succeed.
func TestRun_InjectsScheduledFaults(t *testing.T) {
	g := NewWithT(t)
	const faults = 7
	step := config.Duration(time.Second)
	s := &settings.Experiment{
		Duration: (faults + 2) * step, Engines: 2, Entries: 2, Schemes: []string{"lanes"},
		Customers: []settings.ExperimentCustomer{
			{Name: "a", Rate: 20, Burst: 40, Sends: 2},
			{Name: "greedy", Rate: 2, Burst: 2, Sends: 20},
		},
		Batches: []settings.ExperimentBatch{{Customer: "a", Items: 10}},
	}
	for _, fault := range []settings.ExperimentFault{
		{Kind: settings.FaultKill, Target: settings.TargetEntry, Number: 1},
		{Kind: settings.FaultKill, Target: settings.TargetEndpoint, Number: 2},
		{Kind: settings.FaultPause, Target: settings.TargetEndpoint, Number: 1},
		{Kind: settings.FaultCut, Target: settings.TargetEndpoint, Number: 1},
		{Kind: settings.FaultCut, Target: settings.TargetEntry, Number: 2},
		{Kind: settings.FaultLogDown},
		{Kind: settings.FaultListDown},
	} {
		fault.At, fault.For = config.Duration(len(s.Faults)+1)*step, step/2
		s.Faults = append(s.Faults, fault)
	}
	g.Expect(s.Check("s", SchemeNames())).To(Succeed())
	var progress strings.Builder
	results, err := Run(t.Context(), NewOptions(s), &progress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(progress.String(), "  at ")).To(Equal(faults))
	g.Expect(results).To(HaveLen(1))
	a, greedy := results[0].Customers["a"], results[0].Customers["greedy"]
	g.Expect(a.Done).To(BeNumerically(">", 0))
	g.Expect(a.WithinLimit).To(Equal(a.Sent))
	g.Expect(greedy.WithinLimit).To(BeNumerically("<", greedy.Sent))
}

// TestRun_RestartsEndpointsCold restarts all engines cold, one after the other. It guards
// against a fault after which engines are not cold, and against sidecars that have a cold
// engine crash again.
func TestRun_RestartsEndpointsCold(t *testing.T) {
	g := NewWithT(t)
	const rate = 10
	s := &settings.Experiment{
		Duration: config.Duration(6 * time.Second), Engines: 2, Entries: 1, Schemes: []string{"lanes"},
		Customers: []settings.ExperimentCustomer{{Name: "a", Rate: 100, Burst: 100, Sends: 40}},
		Batches:   []settings.ExperimentBatch{{Customer: "a", Items: 50}},
		ColdRate:  rate, ColdTime: config.Duration(2 * time.Second),
	}
	for n := range s.Engines {
		s.Faults = append(s.Faults, settings.ExperimentFault{
			Kind: settings.FaultCold, Target: settings.TargetEndpoint, Number: n + 1,
			At: config.Duration(n+1) * config.Duration(time.Second), For: config.Duration(300 * time.Millisecond),
		})
	}
	g.Expect(s.Check("s", SchemeNames())).To(Succeed())
	var progress strings.Builder
	results, err := Run(t.Context(), NewOptions(s), &progress)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results).To(HaveLen(1))
	g.Expect(results[0].Customers["a"].Done).To(BeNumerically(">", 0))
	var peak int
	var limit float64
	for line := range strings.Lines(progress.String()) {
		_, _ = fmt.Sscanf(strings.TrimSpace(line), "most requests at a cold engine within a second: %d, of %g", &peak, &limit)
	}
	g.Expect(limit).To(Equal(float64(rate)), progress.String())
	g.Expect(peak).To(BeNumerically(">", 0))
	g.Expect(peak).To(BeNumerically("<=", rate*1.5), "the engine crashed while it was cold")
}

func TestNetwork_RefusesConnectionsWhileUnreachable(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	l, err := n.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	addr := l.Addr().String()
	open, err := n.Dial(t.Context(), addr)
	g.Expect(err).NotTo(HaveOccurred())
	n.setUnreachable(true, addr)
	_, err = open.Write([]byte("x"))
	g.Expect(err).To(HaveOccurred())
	_, err = n.Dial(t.Context(), addr)
	g.Expect(err).To(HaveOccurred())
	n.setUnreachable(false, addr)
	again, err := n.Dial(t.Context(), addr)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Close()).To(Succeed())
}

// exclusiveWriter records whether two calls of Write overlapped.
type exclusiveWriter struct {
	inUse      atomic.Int32
	overlapped atomic.Bool
}

func (w *exclusiveWriter) Write(p []byte) (int, error) {
	if w.inUse.Add(1) > 1 {
		w.overlapped.Store(true)
	}
	runtime.Gosched()
	w.inUse.Add(-1)
	return len(p), nil
}

// Faults that are injected at the same time are reported one after the other.
func TestTestbed_ReportsSimultaneousFaults(t *testing.T) {
	g := NewWithT(t)
	w := new(exclusiveWriter)
	tb := newTestbed(w)
	g.Expect(tb.runFaults(t.Context(), make([]settings.ExperimentFault, 500))).To(Succeed())
	g.Expect(w.overlapped.Load()).To(BeFalse())
}
