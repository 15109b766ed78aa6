package gossip

import (
	"cmp"
	"encoding/binary"
	"net"
	"slices"

	"dandelionrelay/membership"
	"dandelionrelay/origin"
)

// An entry that begins a stream tells a few others where it began, before the caller gets
// the first event, so that the stream can go on after the entry or its connection to the
// caller is gone. Which others is decided by rendezvous hashing of the stream's ID over all
// entries, so that any entry knows whom to ask, in a fleet of any size.
const (
	// streamHolders is the number of other entries that are told of a stream: datagrams
	// may be lost, and entries may be gone when the stream is taken up.
	streamHolders = 3
	// streamCandidates is the number of other entries to ask for a stream: the one that
	// began it may be among the first of all entries.
	streamCandidates = streamHolders + 1
	// streamFormat is the first byte of a datagram about a stream.
	streamFormat = 0x81
	// maxStreamField is the largest length of a field of such a datagram, in bytes.
	maxStreamField = 255
)

// streamMessage is a datagram about a stream that begins.
type streamMessage struct {
	ID     string
	Origin origin.Origin
}

// encode returns the datagram; false if a field is too long.
func (m streamMessage) encode() ([]byte, bool) {
	b := []byte{streamFormat}
	for _, field := range []string{m.ID, m.Origin.Deployment, m.Origin.Version} {
		if len(field) > maxStreamField {
			return nil, false
		}
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	return b, true
}

// decodeStream decodes a datagram that begins with streamFormat. It fails with Malformed if
// it is truncated or a field is empty.
func decodeStream(b []byte) (streamMessage, error) {
	d := &decoder{b: b[1:]}
	var m streamMessage
	for _, field := range []*string{&m.ID, &m.Origin.Deployment, &m.Origin.Version} {
		n := d.uvarint()
		if n == 0 || n > min(len(d.b), maxStreamField) {
			return streamMessage{}, Malformed.New("datagram of %d bytes about a stream truncated or invalid", len(b))
		}
		*field = string(d.take(n))
	}
	if len(d.b) > 0 {
		return streamMessage{}, Malformed.New("datagram of %d bytes about a stream has %d bytes too many", len(b), len(d.b))
	}
	return m, nil
}

// AnnounceStream tells the entries that hold the stream of an attempt where it begins. It
// does not wait for them.
func (n *Node) AnnounceStream(id string, o origin.Origin) {
	socket := n.socket.Load()
	b, ok := streamMessage{ID: id, Origin: o}.encode()
	if socket == nil || !ok {
		return
	}
	for _, m := range n.streamRanking(id, streamHolders) {
		n.write(socket, b, m.Name, n.address(m))
	}
}

// StreamCandidates returns the other entries that may know where the stream of an attempt
// began.
func (n *Node) StreamCandidates(id string) []Member { return n.streamRanking(id, streamCandidates) }

// streamRanking returns the first count other entries in the order of their scores for id.
func (n *Node) streamRanking(id string, count int) []Member {
	type scored struct {
		Member
		score uint64
	}
	var ranking []scored
	for _, m := range n.registry.Members() {
		if m.Name != n.self.Name {
			ranking = append(ranking, scored{m, membership.Score(id, m.Name)})
		}
	}
	slices.SortFunc(ranking, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list := make([]Member, 0, count)
	for _, m := range ranking[:min(count, len(ranking))] {
		list = append(list, m.Member)
	}
	return list
}

// handleStream passes a datagram about a stream on.
func (n *Node) handleStream(b []byte, from net.Addr) {
	m, err := decodeStream(b)
	if err != nil {
		n.log.Warn().Err(err).Stringer("from", from).Msg("malformed gossip datagram dropped")
		return
	}
	n.listener.StreamBegan(m.ID, m.Origin)
}
