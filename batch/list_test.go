package batch

import (
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/eventstream"
	"dandelionrelay/origin"
)

// newFinishedItem returns a runner with one finished item whose output is larger than
// a record.
func newFinishedItem() (*runner, *progress) {
	r := New(Deps{Limits: Limits{RecordBytes: 100}, Log: zerolog.Nop()}).runner
	p := r.item(itemID{job: "j"})
	for n := range int64(2 * minCheckpointEvents) {
		p.appendEvent(eventstream.Event{ID: n, HasID: true, Raw: []byte("data: " + strings.Repeat("x", 10) + "\n\n")}, origin.Origin{Deployment: testModel, Version: "v1"})
	}
	p.phase = phaseFinished
	p.result = Result{State: Completed}
	return r, p
}

// An item whose output is discarded has no checkpoint: another entry that takes it
// over must not resume after events whose text is gone.
func TestRunner_NoCheckpointOfDiscardedOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	r, p := newFinishedItem()
	ready := r.finishedItems()
	g.Expect(ready).To(gomega.HaveLen(1))
	g.Expect(ready[0].result.State).To(gomega.Equal(Errored))
	_, ok, err := p.checkpointRecord()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeFalse())
}

// A checkpoint of an item may be taken while its output is discarded. The race
// detector checks that both hold the item's lock.
func TestRunner_CheckpointBesideDiscardedOutput(t *testing.T) {
	for range 50 {
		r, p := newFinishedItem()
		start := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			<-start
			r.finishedItems()
		})
		wg.Go(func() {
			<-start
			_, _, _ = p.checkpointRecord()
		})
		close(start)
		wg.Wait()
	}
}
