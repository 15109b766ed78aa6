package load

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func plan() *Plan {
	return &Plan{
		Seed: 7, Duration: 10 * time.Second, MaxTokens: 4, PromptTokens: 8, Prefixes: 3, PrefixTokens: 32,
		Customers: []Customer{{Name: "a", Rate: 20, Model: "m"}, {Name: "b", Rate: 5, Model: "m"}},
	}
}

func TestPlan_ArrivalsDependOnSeedOnly(t *testing.T) {
	g := NewWithT(t)
	p := plan()
	first := p.Arrivals()
	g.Expect(p.Arrivals()).To(Equal(first))
	g.Expect(len(first)).To(BeNumerically("~", 250, 60))

	times := func(all []Arrival, customer int) (out []time.Duration) {
		for _, a := range all {
			if a.Customer == customer {
				out = append(out, a.At)
			}
		}
		return out
	}
	p.Customers[0].Rate = 100
	g.Expect(times(p.Arrivals(), 1)).To(Equal(times(first, 1)), "arrivals must not depend on the rate of another customer")
}

func TestReadStream_IncompleteWithoutDoneMarker(t *testing.T) {
	g := NewWithT(t)
	chunk := `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":"x"},"finish_reason":null}],"usage":{"completion_tokens":1}}` + "\n\n"
	sent := time.Now().Add(-time.Second)
	aborted := readStream(strings.NewReader(chunk), sent)
	g.Expect(aborted.incomplete).To(BeTrue())
	complete := readStream(strings.NewReader(chunk+"data: [DONE]\n\n"), sent)
	g.Expect(complete.incomplete).To(BeFalse())
	g.Expect(complete.usage.CompletionTokens).To(Equal(1))
	g.Expect(complete.firstToken).To(BeNumerically(">=", time.Second))
}

func TestWriteCSV_RowForEachCustomerAndAll(t *testing.T) {
	g := NewWithT(t)
	p := plan()
	r := newResult(p)
	r.Elapsed = 10 * time.Second
	r.add("a", requestResult{firstToken: time.Millisecond, latency: 2 * time.Millisecond})
	r.add("b", requestResult{code: "rate_limited"})
	r.Jobs = []JobResult{{Items: 4, Completed: 4, Duration: 2 * time.Second}}
	var out strings.Builder
	g.Expect(WriteCSV(&out, []SchemeResult{{Scheme: "s", Result: r}})).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[3]).To(HavePrefix("s,all,2,1,1,rate_limited,0,1.0,1.0"))
	g.Expect(lines[3]).To(HaveSuffix("4,2.000"))
}
