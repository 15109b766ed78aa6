package gossip

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/origin"
)

func sampleStream() streamMessage {
	return streamMessage{ID: "9c41d07be2a35f68", Origin: origin.Origin{Deployment: "lm", Version: "v1.2"}}
}

func TestStreamMessage_RoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	b, ok := sampleStream().encode()
	g.Expect(ok).To(gomega.BeTrue())
	m, err := decodeStream(b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m).To(gomega.Equal(sampleStream()))
	for n := 1; n < len(b); n++ {
		_, err := decodeStream(b[:n])
		g.Expect(err).To(gomega.HaveOccurred(), "%d of %d bytes", n, len(b))
	}
	_, err = decodeStream(append(b, 0))
	g.Expect(err).To(gomega.HaveOccurred())
	_, ok = streamMessage{ID: strings.Repeat("a", maxStreamField+1)}.encode()
	g.Expect(ok).To(gomega.BeFalse())
}

func FuzzDecodeStream(f *testing.F) {
	b, _ := sampleStream().encode()
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if len(b) > 0 {
			_, _ = decodeStream(b)
		}
	})
}

// A malformed datagram about a stream changes nothing.
func TestNode_IgnoresMalformedStreamMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNode("one")
	from := &net.UDPAddr{}
	for _, b := range [][]byte{{streamFormat}, {streamFormat, 0, 0, 0}, {streamFormat, 200, 1}} {
		n.node.handleStream(b, from)
	}
	g.Expect(n.streams).To(gomega.BeEmpty())
	b, _ := sampleStream().encode()
	n.node.handleStream(b, from)
	g.Expect(n.streams).To(gomega.Equal([]streamMessage{sampleStream()}))
}

// Each entry that looks for a stream asks at least two of those that were told of it, so
// that one of them may be gone.
func TestNode_AsksThoseThatWereTold(t *testing.T) {
	g := gomega.NewWithT(t)
	const entries = 30
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%02d", i))
	}
	nodes := make(map[string]*testNode)
	for _, name := range names {
		nodes[name] = newTestNode(names...)
		nodes[name].node.self.Name = name
	}
	for i := range 200 {
		id, beganAt, askedAt := fmt.Sprint("stream-", i), names[i%entries], names[(i*7+3)%entries]
		told := map[string]bool{beganAt: true}
		for _, m := range nodes[beganAt].node.streamRanking(id, streamHolders) {
			told[m.Name] = true
		}
		g.Expect(told).To(gomega.HaveLen(streamHolders + 1))
		asked := 0
		for _, m := range nodes[askedAt].node.StreamCandidates(id) {
			if told[m.Name] && m.Name != beganAt {
				asked++
			}
		}
		if told[askedAt] {
			asked++
		}
		g.Expect(asked).To(gomega.BeNumerically(">=", 2), id)
	}
}
