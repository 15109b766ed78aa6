package batch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
)

// truncatedEvents is the number of events of a response of a truncatingEndpoint.
const truncatedEvents = 3

// truncatingEndpoint is an endpoint that stops at a byte of its first response to each item,
// and closes the connection. It resumes properly after that.
type truncatingEndpoint struct {
	framing string

	mu   sync.Mutex
	seen map[string]bool // items
}

// serve serves the connections of l, one request each.
func (e *truncatingEndpoint) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close() //nolint:errcheck // the responses are sent, or nobody reads them
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, e.response(r.Header.Get(streams.HeaderID), r.Header.Get("Last-Event-Id")))
		}()
	}
}

// response returns the response to an item after event last. The first one ends after as many
// bytes as the number of the item says.
func (e *truncatingEndpoint) response(id, last string) string {
	after, _ := strconv.Atoi(last) // absent: 0
	body := ""
	for n := after + 1; n <= truncatedEvents; n++ {
		body += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	head := "HTTP/1.1 200 OK\r\n" + streams.HeaderID + ": " + id + "\r\n" + streams.HeaderSigned + ": 1\r\n"
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	switch e.framing {
	case "chunks":
		whole = head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "end":
		whole = head + "\r\n" + body
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen[id] {
		return whole
	}
	e.seen[id] = true
	size, _ := strconv.Atoi(id[strings.LastIndex(id, "item")+len("item"):])
	limit := len(whole)
	if e.framing == "end" { // a body that is framed by the end of its connection looks whole
		limit = len(head) + len("\r\n")
	}
	return whole[:min(size, limit)]
}

// Guards against items that are completed with a part of their output, or joined of two runs,
// as their endpoint stops at any byte of its response.
func TestRunner_ResponsesTruncatedAtEachByte(t *testing.T) {
	const bytes = 220 // more than a response has
	for _, framing := range []string{"length", "chunks", "end"} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1)
				e := &truncatingEndpoint{framing: framing, seen: make(map[string]bool)}
				listener := f.network.Listen("w:1")
				defer listener.Close() //nolint:errcheck // nothing is left to do
				go e.serve(listener)
				f.entries[0].Table.SetEndpoints([]placement.Endpoint{{ID: "w", Address: "w:1", Deployment: testModel, DataCentre: "a", Version: "v1", Slots: 64}})
				f.Expect(f.entries[0].Submit(f.ctx, submission("j", bytes, 1))).To(gomega.Succeed())
				for _, result := range f.awaitResults(f.entries[0], "j", 50*time.Second).Results {
					f.Expect(result.State).To(gomega.Equal(Completed), result.Item)
					want := fmt.Sprintf("%[1]s-1\n%[1]s-2\n%[1]s-3", result.Item)
					f.Expect(string(result.Output)).To(gomega.Equal(want))
				}
			})
		})
	}
}
