package network

import (
	"net"
	"sync/atomic"
)

// CountBytes returns a connection that adds the numbers of bytes read from and
// written to c to read and written.
func CountBytes(c net.Conn, read, written *atomic.Int64) net.Conn {
	return countedConn{c, read, written}
}

type countedConn struct {
	net.Conn
	read, written *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
