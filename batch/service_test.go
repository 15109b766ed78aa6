package batch

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/streams"
)

func worker(id string, events, slots int) *streams.Endpoint {
	return &streams.Endpoint{ID: id, Events: events, First: 20 * time.Millisecond, Gap: 20 * time.Millisecond, Slots: slots}
}

func TestAJobRunsAndIsReadEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 10, 4)
		r := newRig(t, 2, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 5, 10))).To(gomega.Succeed())
		first := r.await(r.entries[0], "j", 5*time.Second)
		second := r.await(r.entries[1], "j", time.Second)
		r.Expect(second).To(gomega.Equal(first))
		for _, l := range first.Results {
			r.Expect(l.State).To(gomega.Equal(Completed))
			r.Expect(string(l.Output)).To(gomega.Equal(w.Text(l.Item)))
		}
		body, err := r.entries[1].ItemBody(r.ctx, testCustomer, "j", "j-item2")
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(string(body)).To(gomega.Equal("body of j"))
		_, err = r.entries[1].Results(r.ctx, "another", "j", 0, 0, 1)
		r.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue())
	})
}

// The same job arrives at both entries at once and again later, some answers
// of the store being lost.
func TestAJobIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 3, 8)
		r := newRig(t, 2, w)
		r.entries[0].index.Set(keyed.Lost)
		done := make(chan error, 2)
		for _, e := range r.entries {
			go func() { done <- e.Submit(r.ctx, submission("j", 4, 10)) }()
		}
		r.Expect(<-done).To(gomega.Succeed())
		r.Expect(<-done).To(gomega.Succeed())
		r.entries[0].index.Set(keyed.None)
		r.Expect(r.entries[1].Submit(r.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		r.await(r.entries[1], "j", 5*time.Second)
		r.Expect(w.Runs()).To(gomega.HaveLen(4))
		other := submission("j", 1, 10)
		other.Customer = "another"
		r.Expect(errorx.IsOfType(r.entries[1].Submit(r.ctx, other), IDInUse)).To(gomega.BeTrue())
	})
}

// Many jobs of one customer arrive at all entries at once: those accepted stay
// within the bound to the token.
func TestTheBoundOfWaitingTokensHoldsOverAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4) // no endpoints: nothing is finished
		accepted, refused := 0, 0
		outcomes := make(chan error)
		for i := range 40 {
			e := r.entries[i%4]
			id := "j" + string(rune('A'+i))
			go func() { outcomes <- e.Submit(r.ctx, submission(id, 3, 30)) }()
		}
		for range 40 {
			switch err := <-outcomes; {
			case err == nil:
				accepted++
			default:
				r.Expect(errorx.IsOfType(err, TokenLimitExceeded)).To(gomega.BeTrue(), "%v", err)
				refused++
			}
		}
		r.Expect(accepted).To(gomega.Equal(testPolicy.MaxTokens / 90))
	})
}

// An entry is killed while it runs a job; another finishes it, once.
func TestAJobOfADeadEntryIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 50, 8)
		r := newRig(t, 3, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(500 * time.Millisecond)
		r.kill(r.entries[0])
		p := r.await(r.entries[1], "j", 10*time.Second)
		r.Expect(r.results(r.entries[2], "j")).To(gomega.Equal(p))
		for _, l := range p.Results {
			r.Expect(string(l.Output)).To(gomega.Equal(w.Text(l.Item)))
		}
	})
}

// The owner is cut off from the store, another takes over; when the owner is
// back, each item has the one result that was read before.
func TestResultsStayWhenAnOwnerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 50, 16)
		r := newRig(t, 2, w)
		owner, heir := r.entries[0], r.entries[1]
		r.Expect(owner.Submit(r.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(300 * time.Millisecond)
		owner.index.Set(keyed.Cut)
		r.mu.Lock()
		r.dead[owner.Self.Entry] = true
		r.mu.Unlock()
		before := r.await(heir, "j", 10*time.Second)
		owner.index.Set(keyed.None)
		time.Sleep(3 * time.Second)
		r.Expect(r.results(owner, "j")).To(gomega.Equal(before))
		r.Expect(r.results(heir, "j")).To(gomega.Equal(before))
	})
}

// An entry's way to the store has gone silent, and results were listed
// meanwhile: it must not say that there are none.
func TestNoResultIsSaidOnlyWhenItIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 5, 8)
		r := newRig(t, 2, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 2, 10))).To(gomega.Succeed())
		r.Expect(r.results(r.entries[1], "j").Results).To(gomega.BeEmpty())
		r.entries[1].index.Set(keyed.Silent)
		r.await(r.entries[0], "j", 5*time.Second)
		time.Sleep(settle)
		_, err := r.entries[1].Results(r.ctx, testCustomer, "j", 0, 0, 1<<20)
		r.Expect(errorx.IsOfType(err, Unreachable)).To(gomega.BeTrue(), "%v", err)
	})
}

// settle is the time after which a result that was read at one entry must be
// known at all that answer.
const settle = time.Second

// Items go on at another endpoint where they were broken off, and their text
// is whole.
func TestItemsResumeAfterEndpointsBreakOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 30, 8)
		w.Behave = func(_ *http.Request, n int) streams.Behaviour {
			if n <= 6 {
				return streams.Behaviour{CutAfter: 3 + n}
			}
			return streams.Behaviour{}
		}
		r := newRig(t, 1, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 3, 10))).To(gomega.Succeed())
		for _, l := range r.await(r.entries[0], "j", 20*time.Second).Results {
			r.Expect(string(l.Output)).To(gomega.Equal(w.Text(l.Item)))
		}
		resumed := 0
		for _, run := range w.Runs() {
			if run.From > 1 {
				resumed++
			}
		}
		r.Expect(resumed).To(gomega.BeNumerically(">=", 3))
	})
}

func TestItemsThatFailAreGivenUpAfterTheirAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 3, 8)
		w.Behave = status(http.StatusInternalServerError)
		r := newRig(t, 1, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		p := r.await(r.entries[0], "j", 20*time.Second)
		r.Expect(p.Results[0].State).To(gomega.Equal(Errored))
		r.Expect(w.Runs()).To(gomega.HaveLen(testPolicy.Attempts))
	})
}

// An item crashes each endpoint that runs it. It may not be given up before its
// time, but is not sent from one endpoint to the next.
func TestAnItemThatCrashesEndpointsRunsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var workers []*streams.Endpoint
		for i := range 9 {
			w := worker(fmt.Sprint("w", i), 3, 8)
			w.Behave = func(*http.Request, int) streams.Behaviour { return streams.Behaviour{Crash: true} }
			workers = append(workers, w)
		}
		r := newRig(t, 1, workers...)
		r.entries[0].Suspects = quarantine.NewShared(&keyed.Handle{Log: keyed.NewLog(1)}, zerolog.Nop(), nil)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		time.Sleep(condemnedPause - time.Second)
		runs := 0
		for _, w := range workers {
			runs += len(w.Runs())
		}
		r.Expect(runs).To(gomega.Equal(quarantine.LossesToQuarantine))
		r.Expect(r.results(r.entries[0], "j").Results).To(gomega.BeEmpty())
	})
}

// Of two endpoints one fails whatever it is sent: items that failed there run at
// the other one, and none is given up.
func TestItemsRunElsewhereAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad, good := worker("bad", 3, 8), worker("good", 3, 8)
		bad.Behave = status(http.StatusInternalServerError)
		r := newRig(t, 1, bad, good)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 12, 10))).To(gomega.Succeed())
		for _, result := range r.await(r.entries[0], "j", 20*time.Second).Results {
			r.Expect(result.State).To(gomega.Equal(Completed))
		}
	})
}

func TestItemsThatCannotBeDoneRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 3, 8)
		w.Behave = status(http.StatusUnprocessableEntity)
		r := newRig(t, 1, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		r.Expect(r.await(r.entries[0], "j", 20*time.Second).Results[0].State).To(gomega.Equal(Errored))
		r.Expect(w.Runs()).To(gomega.HaveLen(1))
	})
}

func TestAnEndedJobRunsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 1000, 8)
		r := newRig(t, 2, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 20, 10))).To(gomega.Succeed())
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.entries[1].Cancel(r.ctx, testCustomer, "j")).To(gomega.Succeed())
		r.Expect(r.entries[1].Cancel(r.ctx, testCustomer, "j")).To(gomega.Succeed())
		time.Sleep(time.Second)
		begun := len(w.Runs())
		time.Sleep(5 * time.Second)
		r.Expect(w.Runs()).To(gomega.HaveLen(begun))
		r.Expect(r.results(r.entries[0], "j").Total).To(gomega.Equal(20))
	})
}

// The history of the store is forgotten and all entries start anew: jobs are
// finished and read from what is kept.
func TestJobsOutliveAllEntriesAndTheHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 40, 8)
		r := newRig(t, 2, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 5, 10))).To(gomega.Succeed())
		time.Sleep(300 * time.Millisecond)
		for _, e := range r.entries {
			r.kill(e)
		}
		r.index.Forget()
		r.contents.Forget()
		fresh := r.start()
		for _, l := range r.await(fresh, "j", 10*time.Second).Results {
			r.Expect(string(l.Output)).To(gomega.Equal(w.Text(l.Item)))
		}
		r.index.Forget()
		r.contents.Forget()
		r.Expect(r.await(r.start(), "j", time.Second)).To(gomega.Equal(r.results(fresh, "j")))
	})
}

// The store is away: a job is refused for good, as nothing of it was stored.
func TestAJobIsRefusedWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.entries[0].contents.Set(keyed.Refused)
		err := r.entries[0].Submit(r.ctx, submission("j", 1, 1))
		r.Expect(errorx.IsOfType(err, Unreachable)).To(gomega.BeTrue())
		r.entries[0].contents.Set(keyed.None)
		time.Sleep(5 * time.Second)
		_, err = r.entries[0].Results(r.ctx, testCustomer, "j", 0, 0, 1)
		r.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue())
	})
}

// Finished jobs are kept as long as promised, then dropped with all that is
// stored of them; open ones stay.
func TestOldJobsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, worker("w", 5, 8))
		r.Expect(r.entries[0].Submit(r.ctx, submission("done", 3, 10))).To(gomega.Succeed())
		r.await(r.entries[0], "done", 5*time.Second)
		time.Sleep(testKeep - 10*time.Second)
		r.Expect(r.results(r.entries[1], "done").Results).To(gomega.HaveLen(3))
		time.Sleep(keepGrace + 20*time.Second)
		_, err := r.entries[1].Results(r.ctx, testCustomer, "done", 0, 0, 1)
		r.Expect(errorx.IsOfType(err, NotFound)).To(gomega.BeTrue(), "%v", err)
		for _, log := range []*keyed.Log{r.index, r.contents} {
			page, _, err := (&keyed.Handle{Log: log}).Newest(r.ctx, "")
			r.Expect(err).NotTo(gomega.HaveOccurred())
			r.Expect(page.Records).To(gomega.BeEmpty())
		}
	})
}

// What can't be stored is refused, or given up, rather than tried for ever.
func TestWhatIsLargerThanARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, worker("w", 600, 8))
		large := submission("large", 2, 10)
		large.Requests[1].Body = make([]byte, testRecord)
		err := r.entries[0].Submit(r.ctx, large)
		r.Expect(errorx.IsOfType(err, TooLarge)).To(gomega.BeTrue(), "%v", err)
		r.Expect(r.entries[0].Submit(r.ctx, submission("long", 1, 10))).To(gomega.Succeed())
		p := r.await(r.entries[0], "long", 30*time.Second)
		r.Expect(p.Results[0].State).To(gomega.Equal(Errored))
	})
}

// An owner is killed while its items run: the heir goes on where they were last
// kept, and the texts are whole.
func TestATakenOverItemGoesOnWhereItWas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker("w", 300, 8)
		r := newRig(t, 3, w)
		r.Expect(r.entries[0].Submit(r.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(4 * time.Second)
		r.kill(r.entries[0])
		for _, l := range r.await(r.entries[1], "j", 15*time.Second).Results {
			r.Expect(string(l.Output)).To(gomega.Equal(w.Text(l.Item)))
		}
		runs := w.Runs()
		r.Expect(runs).To(gomega.HaveLen(8))
		for _, run := range runs[4:] {
			r.Expect(run.From).To(gomega.BeNumerically(">", 50))
		}
	})
}
