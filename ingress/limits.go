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
	Conns int // open connections
}

const (
	// fileDescriptors are left to files; sockets share the rest.
	fileDescriptors = 200
	// connBytes is the memory of a connection without a request: its goroutine, its buffers and
	// its descriptor.
	connBytes = 24 << 10
)

// Callers returns the limits of the listener for callers: half of the sockets, as each
// request needs a connection to an endpoint too, and an eighth of the memory.
func (m Machine) Callers() Limits {
	return Limits{Conns: min(m.sockets()/2, int(m.MemoryBytes/8/connBytes))}
}

// Peers returns the limits of the listener for calls of other instances.
func (m Machine) Peers() Limits { return Limits{Conns: m.sockets() / 8} }

// Operators returns the limits of a listener for operators, probes and collectors of metrics.
func (m Machine) Operators() Limits { return Limits{Conns: m.sockets() / 16} }

func (m Machine) sockets() int { return m.Descriptors - fileDescriptors }
