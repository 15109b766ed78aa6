package gossip

import (
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/placement"
)

// Free slots of an endpoint belong to entries of its data centre; an entry elsewhere that counted
// among them would leave a slot without a user.
func TestNode_NearMembersAreOfOwnDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSimFleet(31)
	self := f.entries[1].node
	var want []string
	for _, m := range f.registered {
		if m.DataCentre == self.self.DataCentre {
			want = append(want, m.Name)
		}
	}
	g.Expect(self.NearMembers()).To(gomega.ConsistOf(want))
	g.Expect(self.CellMembers()).To(gomega.HaveLen(31))
}

// The number of firm items must reach the other entries, or each would preempt its own.
func TestMessage_CarriesFirmItems(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &message{Name: "a", Sequence: 1}
	m.Endpoints.Loads = map[placement.Key]placement.Load{7: {Online: 2, Batch: 3, Firm: 1}}
	decoded, err := decode(m.append(nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.Endpoints.Loads).To(gomega.Equal(m.Endpoints.Loads))
}
