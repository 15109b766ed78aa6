package batch

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"

	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/streams"
)

// newEndpoint returns an endpoint with the given slots that responds to each
// request with a stream of events.
func newEndpoint(id string, events, slots int) *streams.Endpoint {
	return &streams.Endpoint{ID: id, Events: events, FirstEventDelay: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond, Slots: slots}
}

func TestService_ResultsReadableAtAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 10, 4)
		f := newTestFleet(t, 2, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 5, 10))).To(gomega.Succeed())
		first := f.awaitResults(f.entries[0], "j", 5*time.Second)
		second := f.awaitResults(f.entries[1], "j", time.Second)
		f.Expect(second).To(gomega.Equal(first))
		for _, result := range first.Results {
			f.Expect(result.State).To(gomega.Equal(Completed))
			f.Expect(string(result.Output)).To(gomega.Equal(ep.Output(result.Item)))
		}
		body, err := f.entries[1].ItemBody(f.ctx, testCustomer, "j", "j-item2")
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(string(body)).To(gomega.Equal("body of j"))
		_, err = f.entries[1].Results(f.ctx, "another", "j", 0, 0, 1)
		f.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue())
	})
}

// The same job is submitted at two entries concurrently and again later, while
// one entry loses the store's responses to its appends.
func TestSubmit_DuplicatesAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 3, 8)
		f := newTestFleet(t, 2, ep)
		f.entries[0].index.SetFault(keyed.ResponseLost)
		done := make(chan error, 2)
		for _, e := range f.entries {
			go func() { done <- e.Submit(f.ctx, submission("j", 4, 10)) }()
		}
		f.Expect(<-done).To(gomega.Succeed())
		f.Expect(<-done).To(gomega.Succeed())
		f.entries[0].index.SetFault(keyed.None)
		f.Expect(f.entries[1].Submit(f.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		f.awaitResults(f.entries[1], "j", 5*time.Second)
		f.Expect(ep.Runs()).To(gomega.HaveLen(4))
		other := submission("j", 1, 10)
		other.Customer = "another"
		f.Expect(errorx.IsOfType(f.entries[1].Submit(f.ctx, other), IDInUse)).To(gomega.BeTrue())
	})
}

// Jobs of one customer are submitted at all entries concurrently: as many are
// accepted as the token limit allows, and no more.
func TestSubmit_TokenLimitHoldsAcrossEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4) // no endpoints: nothing is finished
		accepted, rejected := 0, 0
		outcomes := make(chan error)
		for i := range 40 {
			e := f.entries[i%4]
			id := "j" + string(rune('A'+i))
			go func() { outcomes <- e.Submit(f.ctx, submission(id, 3, 30)) }()
		}
		for range 40 {
			switch err := <-outcomes; {
			case err == nil:
				accepted++
			default:
				f.Expect(errorx.IsOfType(err, TokenLimitExceeded)).To(gomega.BeTrue(), "%v", err)
				rejected++
			}
		}
		f.Expect(accepted).To(gomega.Equal(testPolicy.MaxTokens / 90))
	})
}

// An entry is killed while it runs a job: another completes the job, with one
// result per item.
func TestTakeOver_CompletesJobOfKilledEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 50, 8)
		f := newTestFleet(t, 3, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(500 * time.Millisecond)
		f.kill(f.entries[0])
		p := f.awaitResults(f.entries[1], "j", 10*time.Second)
		f.Expect(f.results(f.entries[2], "j")).To(gomega.Equal(p))
		for _, result := range p.Results {
			f.Expect(string(result.Output)).To(gomega.Equal(ep.Output(result.Item)))
		}
	})
}

// The owner cannot reach the store and another entry takes over. When the
// owner reconnects, it must not replace or duplicate results that were read.
func TestTakeOver_ResultsUnchangedWhenOwnerReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 50, 16)
		f := newTestFleet(t, 2, ep)
		owner, successor := f.entries[0], f.entries[1]
		f.Expect(owner.Submit(f.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(300 * time.Millisecond)
		owner.index.SetFault(keyed.Unreachable)
		f.mu.Lock()
		f.notAlive[owner.Self.Entry] = true
		f.mu.Unlock()
		before := f.awaitResults(successor, "j", 10*time.Second)
		owner.index.SetFault(keyed.None)
		time.Sleep(3 * time.Second)
		f.Expect(f.results(owner, "j")).To(gomega.Equal(before))
		f.Expect(f.results(successor, "j")).To(gomega.Equal(before))
	})
}

// An entry's connection to the store hangs while results are listed elsewhere:
// the entry must return an error, not an empty page.
func TestResults_UnreachableWhileIndexMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 5, 8)
		f := newTestFleet(t, 2, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 2, 10))).To(gomega.Succeed())
		f.Expect(f.results(f.entries[1], "j").Results).To(gomega.BeEmpty())
		f.entries[1].index.SetFault(keyed.Unresponsive)
		f.awaitResults(f.entries[0], "j", 5*time.Second)
		time.Sleep(visibilityBound)
		_, err := f.entries[1].Results(f.ctx, testCustomer, "j", 0, 0, 1<<20)
		f.Expect(errorx.IsOfType(err, Unreachable)).To(gomega.BeTrue(), "%v", err)
	})
}

// visibilityBound is the time after which a result that was read at one entry
// must be known at all entries that respond.
const visibilityBound = time.Second

// An endpoint aborts streams after some events: items resume after the last event
// received, and their output has no gap and no repeated event.
func TestRunner_ItemsResumeAfterAbortedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 30, 8)
		ep.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour {
			if n <= 6 {
				return streams.Behaviour{AbortAfter: 3 + n}
			}
			return streams.Behaviour{}
		}
		f := newTestFleet(t, 1, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 3, 10))).To(gomega.Succeed())
		for _, result := range f.awaitResults(f.entries[0], "j", 20*time.Second).Results {
			f.Expect(string(result.Output)).To(gomega.Equal(ep.Output(result.Item)))
		}
		resumed := 0
		for _, run := range ep.Runs() {
			if run.FirstEvent > 1 {
				resumed++
			}
		}
		f.Expect(resumed).To(gomega.BeNumerically(">=", 3))
	})
}

func TestRunner_ItemErroredAfterAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 3, 8)
		ep.BehaviourFor = respondStatus(http.StatusInternalServerError)
		f := newTestFleet(t, 1, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		p := f.awaitResults(f.entries[0], "j", 20*time.Second)
		f.Expect(p.Results[0].State).To(gomega.Equal(Errored))
		f.Expect(ep.Runs()).To(gomega.HaveLen(testPolicy.Attempts))
	})
}

// Endpoints crash in quick succession, five of them while they run the same item. The item
// is not the cause and is still owed: it runs again as soon as the crashes are over, with a
// delay between its runs that grows up to maxRetryDelay.
func TestRunner_ItemRunsAgainAfterCrashesOfItsEndpoints(t *testing.T) {
	const crashes = 5
	synctest.Test(t, func(t *testing.T) {
		var endpoints []*streams.Endpoint
		var received atomic.Int64
		for i := range 9 {
			ep := newEndpoint(fmt.Sprint("w", i), 3, 8)
			ep.BehaviourFor = func(*http.Request, int) streams.Behaviour {
				return streams.Behaviour{Crash: received.Add(1) <= crashes}
			}
			endpoints = append(endpoints, ep)
		}
		f := newTestFleet(t, 1, endpoints...)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		began := time.Now()
		f.awaitResults(f.entries[0], "j", 2*maxRetryDelay)
		var runs []time.Time
		for _, ep := range endpoints {
			for _, r := range ep.Runs() {
				runs = append(runs, r.At)
			}
		}
		slices.SortFunc(runs, time.Time.Compare)
		f.Expect(runs).To(gomega.HaveLen(crashes + 1))
		for i := range crashes {
			f.Expect(runs[i+1].Sub(runs[i])).To(gomega.BeNumerically(">=", min(minRetryDelay<<i, maxRetryDelay)))
			f.Expect(runs[i+1].Sub(runs[i])).To(gomega.BeNumerically("<=", maxRetryDelay+time.Second))
		}
		f.Expect(runs[crashes].Sub(began)).To(gomega.BeNumerically("<", 2*maxRetryDelay))
	})
}

// Endpoints crash whenever they run an item. It must not be failed before the end of its
// retention, and the delay between its runs bounds how fast it meets endpoints.
func TestRunner_ItemWhoseEndpointsAlwaysCrashIsNotFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var endpoints []*streams.Endpoint
		for i := range 9 {
			ep := newEndpoint(fmt.Sprint("w", i), 3, 8)
			ep.BehaviourFor = func(*http.Request, int) streams.Behaviour { return streams.Behaviour{Crash: true} }
			endpoints = append(endpoints, ep)
		}
		f := newTestFleet(t, 1, endpoints...)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		time.Sleep(testPolicy.Retain - time.Second)
		var runs []time.Time
		for _, ep := range endpoints {
			for _, r := range ep.Runs() {
				runs = append(runs, r.At)
			}
		}
		slices.SortFunc(runs, time.Time.Compare)
		f.Expect(runs).NotTo(gomega.BeEmpty())
		for i := range len(runs) - 1 {
			f.Expect(runs[i+1].Sub(runs[i])).To(gomega.BeNumerically(">=", min(minRetryDelay<<i, maxRetryDelay)))
		}
		f.Expect(f.results(f.entries[0], "j").Results).To(gomega.BeEmpty())
	})
}

// One of two endpoints responds to every request with status 500: items that
// failed there run at the other one, and none is errored.
func TestRunner_AvoidsEndpointAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad, good := newEndpoint("bad", 3, 8), newEndpoint("good", 3, 8)
		bad.BehaviourFor = respondStatus(http.StatusInternalServerError)
		f := newTestFleet(t, 1, bad, good)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 12, 10))).To(gomega.Succeed())
		for _, result := range f.awaitResults(f.entries[0], "j", 20*time.Second).Results {
			f.Expect(result.State).To(gomega.Equal(Completed))
		}
	})
}

func TestRunner_UnprocessableItemRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 3, 8)
		ep.BehaviourFor = respondStatus(http.StatusUnprocessableEntity)
		f := newTestFleet(t, 1, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		f.Expect(f.awaitResults(f.entries[0], "j", 20*time.Second).Results[0].State).To(gomega.Equal(Errored))
		f.Expect(ep.Runs()).To(gomega.HaveLen(1))
	})
}

func TestCancel_StopsItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 1000, 8)
		f := newTestFleet(t, 2, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 20, 10))).To(gomega.Succeed())
		time.Sleep(500 * time.Millisecond)
		f.Expect(f.entries[1].Cancel(f.ctx, testCustomer, "j")).To(gomega.Succeed())
		f.Expect(f.entries[1].Cancel(f.ctx, testCustomer, "j")).To(gomega.Succeed())
		time.Sleep(time.Second)
		started := len(ep.Runs())
		time.Sleep(5 * time.Second)
		f.Expect(ep.Runs()).To(gomega.HaveLen(started))
		f.Expect(f.results(f.entries[0], "j").Total).To(gomega.Equal(20))
	})
}

// All entries are killed and the store trims all but the newest record of each
// key: new entries complete and serve jobs from these records.
func TestService_RestartsFromNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 40, 8)
		f := newTestFleet(t, 2, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 5, 10))).To(gomega.Succeed())
		time.Sleep(300 * time.Millisecond)
		for _, e := range f.entries {
			f.kill(e)
		}
		f.index.Trim()
		f.contents.Trim()
		restarted := f.startEntry()
		for _, result := range f.awaitResults(restarted, "j", 10*time.Second).Results {
			f.Expect(string(result.Output)).To(gomega.Equal(ep.Output(result.Item)))
		}
		f.index.Trim()
		f.contents.Trim()
		f.Expect(f.awaitResults(f.startEntry(), "j", time.Second)).To(gomega.Equal(f.results(restarted, "j")))
	})
}

// The store refuses calls: a job is rejected, and is not accepted when the store
// is back, as nothing of it was stored.
func TestSubmit_UnreachableWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		f.entries[0].contents.SetFault(keyed.Refused)
		err := f.entries[0].Submit(f.ctx, submission("j", 1, 1))
		f.Expect(errorx.IsOfType(err, Unreachable)).To(gomega.BeTrue())
		f.entries[0].contents.SetFault(keyed.None)
		time.Sleep(5 * time.Second)
		_, err = f.entries[0].Results(f.ctx, testCustomer, "j", 0, 0, 1)
		f.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue())
	})
}

// Finished jobs are kept for their retention, then deleted with all their stored
// records.
func TestExpire_DeletesJobsAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2, newEndpoint("w", 5, 8))
		f.Expect(f.entries[0].Submit(f.ctx, submission("done", 3, 10))).To(gomega.Succeed())
		f.awaitResults(f.entries[0], "done", 5*time.Second)
		time.Sleep(testRetention - 10*time.Second)
		f.Expect(f.results(f.entries[1], "done").Results).To(gomega.HaveLen(3))
		time.Sleep(retentionGrace + 20*time.Second)
		_, err := f.entries[1].Results(f.ctx, testCustomer, "done", 0, 0, 1)
		f.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue(), "%v", err)
		for _, log := range []*keyed.Log{f.index, f.contents} {
			page, _, err := (&keyed.Handle{Log: log}).Newest(f.ctx, "")
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.Expect(page.Records).To(gomega.BeEmpty())
		}
	})
}

// A request larger than a record is rejected, and an item with a larger output is
// errored; neither may be retried without end.
func TestService_ContentLargerThanRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, newEndpoint("w", 600, 8))
		large := submission("large", 2, 10)
		large.Requests[1].Body = make([]byte, testRecordBytes)
		err := f.entries[0].Submit(f.ctx, large)
		f.Expect(errorx.IsOfType(err, TooLarge)).To(gomega.BeTrue(), "%v", err)
		f.Expect(f.entries[0].Submit(f.ctx, submission("long", 1, 10))).To(gomega.Succeed())
		p := f.awaitResults(f.entries[0], "long", 30*time.Second)
		f.Expect(p.Results[0].State).To(gomega.Equal(Errored))
	})
}

// An owner is killed while its items run: the entry that takes over resumes them
// from their last checkpoints, and their outputs have no gap.
func TestTakeOver_ItemsResumeFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 300, 8)
		f := newTestFleet(t, 3, ep)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(4 * time.Second)
		f.kill(f.entries[0])
		for _, result := range f.awaitResults(f.entries[1], "j", 15*time.Second).Results {
			f.Expect(string(result.Output)).To(gomega.Equal(ep.Output(result.Item)))
		}
		runs := ep.Runs()
		f.Expect(runs).To(gomega.HaveLen(8))
		for _, run := range runs[4:] {
			f.Expect(run.FirstEvent).To(gomega.BeNumerically(">", 50))
		}
	})
}
