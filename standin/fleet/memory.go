package fleet

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"dandelionrelay/standin/network"
)

// MemoryNetwork is a Network in memory. It supports partitions between data centres.
type MemoryNetwork struct {
	*network.Network
	ports atomic.Int64 // last port that was allocated
}

// NewMemoryNetwork returns a network without listeners.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{Network: network.New()}
}

// Listen implements Network.
func (m *MemoryNetwork) Listen(addr string) (net.Listener, error) {
	if host, ok := strings.CutSuffix(addr, ":0"); ok {
		addr = fmt.Sprintf("%s:%d", host, m.ports.Add(1))
	}
	return m.Network.Listen(addr), nil
}

// Dial implements Network.
func (m *MemoryNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return m.DialContext(ctx, "tcp", addr)
}
