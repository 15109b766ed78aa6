package batch

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/keyedlog"
	"dandelionrelay/standin/keyed"
)

// Two entries store outputs of the same item, as happens when an entry that cannot
// reach the index still runs an item that another has taken over. All entries must
// read the listed output, also the one whose own outputs are not listed, and also
// when the offset of the listed one is trimmed.
func TestContents_ReadListedOutputAmongSeveral(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	log := keyed.NewLog(500)
	one := newContents([]Store{&keyed.Handle{Log: log}})
	two := newContents([]Store{&keyed.Handle{Log: log}})
	put := func(c *contents, key, text string) Ref {
		refs, err := c.put(ctx, 0, []keyedlog.Record{{Key: key, Value: []byte(text)}}, 1<<20)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return refs[0]
	}
	id := itemID{"job", 3}
	put(one, outputKey(id, Owner{Entry: "one", Incarnation: 1}, 1), "by the first")
	listed := put(two, outputKey(id, Owner{Entry: "two", Incarnation: 2}, 1), "by the second")
	put(one, outputKey(id, Owner{Entry: "one", Incarnation: 1}, 2), "by the first again")

	for _, trimmed := range []bool{false, true} {
		if trimmed {
			log.Trim()
		}
		for _, c := range []*contents{one, two, newContents([]Store{&keyed.Handle{Log: log}})} {
			text, err := c.get(ctx, listed)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(text)).To(gomega.Equal("by the second"))
		}
	}
}
