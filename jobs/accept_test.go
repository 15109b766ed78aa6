package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/jobs"
	"dandelionrelay/membership"
	standin "dandelionrelay/standin/platform"
)

func TestSubmission_OutcomeWhileLogFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 0, 1)
		defer f.close()
		f.startEntry("e1")
		time.Sleep(time.Second)
		f.log.SetFaults(standin.Faults{Down: true})
		code, body := f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 3))
		g.Expect(code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(body).To(gomega.ContainSubstring(`"outcome":"not_run"`))
		g.Expect(f.log.Appends()).To(gomega.BeZero())

		f.log.SetFaults(standin.Faults{Refuse: 1}) // reads succeed; appends are not stored and get no response
		code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 3))
		g.Expect(code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(body).To(gomega.ContainSubstring(`"outcome":"unknown"`))
		g.Expect(body).To(gomega.ContainSubstring("same idempotency key"))

		f.log.SetFaults(standin.Faults{LoseAnswer: 1}) // appends are stored, but their responses are lost
		code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("x", 3))
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)

		f.log.SetFaults(standin.Faults{})
		code, body = f.call("POST", "/v1/batches", "application/jsonl", "k", batchFile("other", 3))
		g.Expect(code).To(gomega.Equal(http.StatusConflict), body)
	})
}

// countingLog counts appends and their largest size, and stores nothing.
type countingLog struct {
	mu      sync.Mutex
	appends int
	largest int
}

func (l *countingLog) Append(_ context.Context, _, _ string, data []byte) (infra.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.largest = max(l.largest, len(data))
	return infra.Offset(l.appends), nil
}

func (l *countingLog) Read(context.Context, string, infra.Offset, int, time.Duration) ([]infra.Record, error) {
	return nil, infra.Unavailable.New("countingLog stores no records")
}

func (l *countingLog) Bounds(context.Context, string) (infra.Offset, infra.Offset, error) {
	return 1, 1, nil
}

// generatedFile is a reader of a batch file that it generates while it is read.
type generatedFile struct {
	items, next int
	line        string
	body        string
	peakHeap    uint64 // peak of the heap in use, in bytes, sampled every 5000 items; 0: not sampled
}

func (r *generatedFile) Read(p []byte) (int, error) {
	if r.line == "" {
		if r.next == r.items {
			return 0, io.EOF
		}
		r.line = fmt.Sprintf(`{"custom_id":"i-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","prompt":%q}}`+"\n", r.next, r.body)
		r.next++
		r.sampleHeap()
	}
	n := copy(p, r.line)
	r.line = r.line[n:]
	return n, nil
}

func (r *generatedFile) sampleHeap() {
	if r.peakHeap == 0 || r.next%5000 != 0 {
		return
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.peakHeap = max(r.peakHeap, m.HeapAlloc)
}

// BenchmarkAccept measures accepting one job with items of about 1 KiB.
func BenchmarkAccept(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 160_000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			var peak uint64
			log := new(countingLog)
			for b.Loop() {
				log.appends = 0
				in := &generatedFile{items: items, body: strings.Repeat("x", 1000), peakHeap: 1}
				_, _, e := newTestService(log).Accept(b.Context(), &jobs.Submission{Customer: "a", Body: in, Job: new(jobs.JobParams)})
				if e != nil {
					b.Fatal(e)
				}
				peak = max(peak, in.peakHeap)
			}
			b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
			b.ReportMetric(float64(log.appends), "appends")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(items), "us/item")
		})
	}
}

// newTestService returns a Service of one entry with an idempotent route.
func newTestService(log infra.Log) *jobs.Service {
	holder := new(config.Holder)
	holder.Set(config.NewSnapshot(1, &config.State{
		Routes: map[string]config.Route{"chat": {Model: "m", Deployment: "d", Idempotent: true}},
	}))
	return jobs.NewService(jobs.Options{Self: "e", Log: log, Members: membership.Static(nil), Config: holder})
}

func TestAccept_StreamsLargeJobInChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := new(countingLog)
		in := &jobs.Submission{Customer: "a", Body: &generatedFile{items: 160_000, body: strings.Repeat("x", 100)}, Job: new(jobs.JobParams)}
		start := time.Now()
		_, v, e := newTestService(log).Accept(t.Context(), in)
		g.Expect(e).To(gomega.BeNil())
		g.Expect(v.Total).To(gomega.Equal(160_000))
		g.Expect(log.largest).To(gomega.BeNumerically("<", 2*jobs.ChunkBytes))
		g.Expect(log.appends).To(gomega.BeNumerically(">=", 160_000/jobs.ChunkItems))
		const burst = 8
		allowed := burst + jobs.ChunkAppendsPerSecond*time.Since(start).Seconds()
		g.Expect(float64(log.appends)).To(gomega.BeNumerically("<=", allowed))
	})
}

func TestAccept_LimitsItemsAndFindings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		_, _, e := newTestService(new(countingLog)).Accept(t.Context(), &jobs.Submission{
			Customer: "a", Body: strings.NewReader(strings.Repeat("{}\n", jobs.MaxItems+1)),
		})
		g.Expect(e.Findings).To(gomega.HaveLen(jobs.MaxFindings))
		findings := 3*(jobs.MaxItems+1) + 1 // custom_id, method and body of each, and the number of items
		g.Expect(e.Message).To(gomega.ContainSubstring(fmt.Sprint(findings)))

		long := strings.Repeat("x", 2*jobs.MaxItemBytes)
		_, _, e = newTestService(new(countingLog)).Accept(t.Context(), &jobs.Submission{
			Customer: "a", Body: strings.NewReader("\n" + long + "\n"),
		})
		g.Expect(e.Findings).To(gomega.HaveLen(1))
		g.Expect(e.Findings[0].Line).To(gomega.Equal(2))

		_, _, e = newTestService(new(countingLog)).Accept(t.Context(), &jobs.Submission{
			Customer: "a", Body: io.MultiReader(&generatedFile{items: 5}, failingReader{}),
		})
		g.Expect(e.Status).To(gomega.Equal(http.StatusBadRequest))
	})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }
