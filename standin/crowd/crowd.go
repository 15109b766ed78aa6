// Package crowd is a stand-in for callers that do not behave: many connections that send
// requests of legal size which are expensive to hold, or which never end, and stay open.
package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"dandelionrelay/standin/network"
)

// dialTimeout is the time within which a connection must open. Attempts at a process that
// does not accept it fail and count as closed.
const dialTimeout = 5 * time.Second

// acceptTimeout is long, as tests with crowds do not check latencies.
const acceptTimeout = time.Minute

// unreadTimeout is the time for which forms whose responses are not read send requests.
const unreadTimeout = 2 * time.Second

// maxConcurrentDials keeps the listener's queue of new connections from overflowing.
const maxConcurrentDials = 64

// Crowd is a set of connections to one address that stay open until Close.
type Crowd struct {
	sending, receiving sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	statuses map[string]int // final status by request ID
}

// Open opens n connections to the TCP address addr and sends what form says on each of them,
// for a request with the ID that ids returns for its number. Connections that are refused or closed are not
// opened again.
func Open(addr string, n int, form Form, ids func(n int) string) *Crowd {
	c := &Crowd{statuses: make(map[string]int)}
	dials := make(chan struct{}, maxConcurrentDials)
	for i := range n {
		id := ids(i)
		c.sending.Go(func() {
			dials <- struct{}{}
			conn, err := form.dial(addr)
			<-dials
			if err != nil {
				return
			}
			c.hold(conn, id, form.unread)
			form.send(conn, id)
		})
	}
	return c
}

// dial opens a connection.
func (f Form) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if f.unread {
		return network.DialSmall(ctx, addr)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// settleTime is the time within which a process fills the buffers of the kernel with responses
// that are not read.
const settleTime = 15 * time.Second

// Settle waits until a process to which all was sent has come to hold what it will hold.
func (f Form) Settle() {
	if f.unread {
		time.Sleep(settleTime)
	}
}

// hold keeps conn open until Close. It records the status of the response to the request id,
// unless responses are not read.
func (c *Crowd) hold(conn net.Conn, id string, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	if unread {
		// The process stops reading before everything is sent.
		_ = conn.SetWriteDeadline(time.Now().Add(unreadTimeout))
		return
	}
	c.receiving.Go(func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		c.mu.Lock()
		c.statuses[id] = response.StatusCode
		c.mu.Unlock()
	})
}

// AwaitSent waits until every connection has sent its bytes or was closed.
func (c *Crowd) AwaitSent() { c.sending.Wait() }

// AwaitAccepted waits until the process that listens on addr has accepted or refused all
// connections that were opened before: it accepts them in the order in which they came.
func AwaitAccepted(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // its end was read, or has failed
	if err := conn.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
		return err
	}
	// Servers of net/rpc cannot decode so long a line and close the connection. Any other end
	// means that the connection was accepted as well.
	_, err = fmt.Fprintf(conn, "GET / HTTP/1.0\r\nX: %0128d\r\n\r\n", 0)
	if err == nil {
		_, err = io.Copy(io.Discard, conn)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// Close closes all connections and returns the statuses of the responses by request ID.
func (c *Crowd) Close() map[string]int {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
	c.receiving.Wait()
	return c.statuses
}
