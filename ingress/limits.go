// Package ingress bounds what the other side of a listener can make a process hold: its
// connections, and the memory of requests from their first byte until they are answered.
//
// Where a bound is reached, connections give way whose other side has been silent for longest.
// Requests that were received whole never give way; new ones are refused instead.
package ingress

// Machine is what a machine grants the process.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Limits bound what the connections of one listener hold together.
type Limits struct {
	Conns        int   // open connections
	RequestBytes int64 // memory of the requests that are received or served
}

// large returns the memory that requests of more than smallRequestBytes may hold together, so
// that there is room for small ones beside them.
func (l Limits) large() int64 { return l.RequestBytes / 4 * 3 }

// MaxHeadBytes is the maximum size of the head of a request, in bytes.
const MaxHeadBytes = 64 << 10

// AnyHead returns MaxHeadBytes.
func AnyHead() int64 { return MaxHeadBytes }

const (
	// fileDescriptors are left to files; sockets share the rest.
	fileDescriptors = 200
	// connBytes is the memory of a connection without a request: its goroutine, its buffers and
	// its descriptor.
	connBytes = 24 << 10
	// smallRequestBytes is the largest memory of a request that counts as small.
	smallRequestBytes = 64 << 10
	// lineBytes is the memory of a line of a head beside its bytes: its entries in the maps of
	// the header that is received and of the one that is sent.
	lineBytes = 256
	// copies is the number of times that the bytes of a request are in memory: as they were
	// received, and as they are sent or decoded.
	copies = 2
)

// Callers returns the limits of the listener for callers: half of the sockets, as each
// request needs a connection to an endpoint too, an eighth of the memory for connections and
// a quarter for their requests.
func (m Machine) Callers() Limits {
	return Limits{Conns: min(m.sockets()/2, int(m.MemoryBytes/8/connBytes)), RequestBytes: m.MemoryBytes / 4}
}

// Peers returns the limits of the listener for calls of other instances.
func (m Machine) Peers() Limits {
	return Limits{Conns: m.sockets() / 8, RequestBytes: m.MemoryBytes / 8}
}

// Operators returns the limits of a listener for operators, probes and collectors of metrics.
func (m Machine) Operators() Limits {
	return Limits{Conns: m.sockets() / 16, RequestBytes: m.MemoryBytes / 32}
}

func (m Machine) sockets() int { return m.Descriptors - fileDescriptors }
