package online

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/standin/streams"
)

// The line about a stream says where its events came from and which stream the caller took
// up.
func TestStream_LogsItsSourcesAndResumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks := true
		behave := func(*http.Request, int) streams.Behaviour {
			defer func() { breaks = false }()
			if breaks {
				return streams.Behaviour{AbortAfter: 5}
			}
			return streams.Behaviour{}
		}
		r := newTestService(t, newEndpoint("one", behave), newEndpoint("two", behave))
		c, _ := newCall("q", true)
		c.R.Header.Set("Last-Event-Id", "3")
		c.Resumption = &pipeline.Resumption{Attempt: "first", Cursor: eventstream.Cursor{LastID: 3, HasID: true}}
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(r.logs.String()).To(gomega.ContainSubstring(`"resumes":"first","after_event":3`))
		r.Expect(r.logs.String()).To(gomega.MatchRegexp(`"sources":\["(one|two)  5","(one|two)  12"\]`))
	})
}
