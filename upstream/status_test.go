package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against statuses that HTTP does not have and that pass for a response, and against
// bytes behind one that pass for the next response.
func TestExchange_InvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
				id := r.Header.Get(idHeader)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
				respond(c, id, "not the response to this request")
				return false
			})
			dials := 0
			_, err := exchange(newPool(&dials), e.Addr().String(), "a")
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("status")))
		})
	}
}
