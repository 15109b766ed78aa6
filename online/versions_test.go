package online

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/standin/streams"
)

// A stream pauses for longer than the gap goal of its route. It is not cut, as no other
// endpoint of its version is left that could continue it.
func TestStream_NotCutIfNoOtherEndpointOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, other := newEndpoint("slow", nil), newEndpoint("other", always(streams.Behaviour{NotRun: true, Status: 503}))
		slow.Version, other.Version = "v1/", "v2/"
		slow.EventInterval, slow.Events = 2*gap, 5
		r := newTestService(t, slow, other)
		c, w := newCall("q", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(w.body.String()).To(gomega.Equal(slow.ResponseBody("q")))
	})
}

// Endpoints of one version crash, one after the other, while others of another version
// are idle. Streams that they have begun go on at one version or break off.
func TestStream_BreaksOffIfItsVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		only, other := newEndpoint("only", always(streams.Behaviour{AbortAfter: 5})), newEndpoint("other", nil)
		only.Version, other.Version = "v1/", "v2/"
		r := newTestService(t, only, other)
		begun := 0
		for n := range 10 {
			c, w := newCall(fmt.Sprint("q", n), true)
			err := r.Handle(t.Context(), c)
			if len(only.Runs()) == begun {
				r.Expect(w.body.String()).To(gomega.Equal(other.ResponseBody(c.ID)))
				continue
			}
			begun++
			r.Expect(err).NotTo(gomega.BeNil())
			r.Expect(only.ResponseBody(c.ID)).To(gomega.HavePrefix(w.body.String()))
			r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("<", goal), "the caller is not kept waiting")
			time.Sleep(10 * time.Second) // the suspension of the endpoint ends
		}
		r.Expect(begun).To(gomega.BeNumerically(">", 0))
	})
}

// An endpoint begins again instead of going on. The caller that takes the stream up gets no
// event twice.
func TestStream_TakenUpWithoutDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint("e", always(streams.Behaviour{Restart: true}))
		r := newTestService(t, e)
		c, w := newCall("q", true)
		c.R.Header.Set("Last-Event-Id", "5")
		c.Resumption = &pipeline.Resumption{Attempt: "first", Cursor: eventstream.Cursor{LastID: 5, HasID: true}}
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		whole := e.ResponseBody("q")
		r.Expect(w.body.String()).To(gomega.Equal(whole[strings.Index(whole, "id: 6\n"):]))
	})
}
