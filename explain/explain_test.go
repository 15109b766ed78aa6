package explain

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a field of the query that does not reach the entry.
func TestQuery_RoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, q := range []Query{
		{Route: "r", Customer: "c d", Version: "v+1", Job: true},
		{Host: "h.example", Path: "/a?b=c&d #e"},
	} {
		parsed, err := ParseQuery(q.Values())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(parsed).To(gomega.Equal(q))
	}
}
