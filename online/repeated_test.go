package online

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/streams"
)

// runsOf returns the number of runs of a request at all endpoints.
func runsOf(id string, endpoints ...*streams.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, run := range e.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// A faulty endpoint writes an earlier refusal once more before the response to a request that
// may not be repeated. The request runs once, and the caller isn't told that it has not run.
func TestOnce_RefusalWrittenOnceMore(t *testing.T) {
	for name, refused := range map[string]string{"named": "earlier", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				onX := func(r *http.Request, _ int) streams.Behaviour {
					if r.Header.Get(streams.HeaderID) == "x" {
						return streams.Behaviour{Before: streams.Refusal(refused)}
					}
					return streams.Behaviour{}
				}
				a, b := newEndpoint("a", onX), newEndpoint("b", onX)
				r := newTestService(t, a, b)
				for i := range 4 { // keeps connections to both
					call, _ := newCall(fmt.Sprint("earlier ", i), false)
					r.Expect(r.Handle(t.Context(), call)).To(gomega.BeNil())
				}
				call, _ := newCall("x", false)
				err := r.Handle(t.Context(), call)
				time.Sleep(timeout)
				r.Expect(runsOf("x", a, b)).To(gomega.Equal(1))
				if err != nil {
					r.Expect(err.Status).To(gomega.Equal(http.StatusBadGateway))
				}
			})
		})
	}
}

// A response says that the request has not run, and has a status that says that it has. The
// request may not be repeated, so it runs once.
func TestOnce_NotRunContradictsStatus(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contradict := always(streams.Behaviour{NotRun: true, Status: status})
				a, b := newEndpoint("a", contradict), newEndpoint("b", contradict)
				r := newTestService(t, a, b)
				call, _ := newCall("x", false)
				err := r.Handle(t.Context(), call)
				r.Expect(a.Received() + b.Received()).To(gomega.Equal(1))
				r.Expect(err.Status).To(gomega.Equal(http.StatusBadGateway))
			})
		})
	}
}

// An endpoint runs a request and responds with a status that promises callers that it has not
// run. The promise isn't passed on.
func TestOnce_PromiseWithoutStatementIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newEndpoint("a", always(streams.Behaviour{Status: status, Body: "busy"}))
				r := newTestService(t, a)
				call, w := newCall("x", false)
				err := r.Handle(t.Context(), call)
				r.Expect(runsOf("x", a)).To(gomega.Equal(1))
				r.Expect(err).NotTo(gomega.BeNil())
				r.Expect(err.Status).To(gomega.Equal(http.StatusBadGateway))
				r.Expect(w.status).To(gomega.BeZero())
			})
		})
	}
}

// errorHead is what an endpoint writes whose error gets into the body of a response.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed\n\n"

// errorText is an error that has the form of an event.
const errorText = "data: {\"error\": \"failed\"}\n\n"

// An endpoint's error stands in the body of its stream. It doesn't reach the caller, who gets
// the rest from another endpoint, or sees that the stream is incomplete.
func TestStream_ErrorInsideStream(t *testing.T) {
	for _, text := range []string{errorHead, errorText} {
		for _, b := range []streams.Behaviour{{Insert: text}, {Insert: text, InsertAfter: 5}, {Insert: text, InsertAfter: 5, EndAfterInsert: true}, {Insert: text, InsertAfter: 20}} {
			t.Run(fmt.Sprintf("%q after %d, at the end %t", text[:4], b.InsertAfter, b.EndAfterInsert), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := newEndpoint("a", always(b))
					r := newTestService(t, a)
					call, w := newCall("x", false)
					r.Expect(r.Handle(t.Context(), call)).NotTo(gomega.BeNil())
					r.Expect(a.ResponseBody("x")).To(gomega.HavePrefix(w.body.String()))

					a, other := newEndpoint("a", always(b)), newEndpoint("b", nil)
					r = newTestService(t, a, other)
					r.serveUntilAt(t, a, other)
				})
			})
		}
	}
}

// serveUntilAt sends resumable calls until one has reached endpoint a, and checks that each gets
// a prefix of its response, which is whole unless only its end was missing.
func (r *testService) serveUntilAt(t *testing.T, a, other *streams.Endpoint) {
	for i := 0; len(a.Runs()) == 0; i++ {
		id := fmt.Sprint("y", i)
		call, w := newCall(id, true)
		err := r.Handle(t.Context(), call)
		r.Expect(other.ResponseBody(id)).To(gomega.HavePrefix(w.body.String()))
		if err == nil {
			r.Expect(w.body.String()).To(gomega.Equal(other.ResponseBody(id)))
		}
	}
}

// A stream has begun and breaks off; the next endpoint responds with an error, of whatever
// form. Nothing of it reaches the caller, and the stream doesn't end as complete.
func TestStream_ErrorOfNextEndpoint(t *testing.T) {
	broken := streams.Behaviour{AbortAfter: 5}
	for name, next := range map[string]streams.Behaviour{
		"status 500":            {Status: http.StatusInternalServerError, Body: errorText},
		"status 404":            {Status: http.StatusNotFound, Body: "failed\n\n"},
		"status 202":            {Status: http.StatusAccepted, Body: errorText},
		"refused":               {Status: http.StatusServiceUnavailable, NotRun: true},
		"unsigned":              {Unsigned: true},
		"200, head of an error": {Insert: errorHead, EndAfterInsert: true},
		"200, text of an error": {Insert: errorText, EndAfterInsert: true},
		"200, empty":            {Insert: "\n", EndAfterInsert: true},
		"200, comment":          {Insert: ": failed\n\n", EndAfterInsert: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				behave := func(r *http.Request, _ int) streams.Behaviour {
					if r.Header.Get("Last-Event-Id") == "" {
						return broken
					}
					return next
				}
				a, b := newEndpoint("a", behave), newEndpoint("b", behave)
				r := newTestService(t, a, b)
				call, w := newCall("x", true)
				r.Expect(r.Handle(t.Context(), call)).NotTo(gomega.BeNil(), "the stream ends as incomplete")
				events := strings.SplitAfter(a.ResponseBody("x"), "\n\n")
				r.Expect(w.body.String()).To(gomega.Equal(strings.Join(slices.Clone(events[:5]), "")))
			})
		})
	}
}
