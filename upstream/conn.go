package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	addr     string
	reader   *bufio.Reader
	expires  time.Time // from then on the idle connection must not be used
	left     int       // bytes that may still be read; unlimitedReads: any number
	requests int       // sent so far
	carried  []uint64  // hashes of the IDs of these requests
	writes   writes    // that are concurrent with reads
}

// unlimitedReads lifts the limit on the bytes that are read from a connection.
const unlimitedReads = -1

// errTooLong is returned by reads from an endpoint that sends more than is accepted.
var errTooLong = errors.New("response longer than accepted")

// limitReads sets the number of bytes that may be read from now on, beyond those that are
// buffered.
func (c *conn) limitReads(n int) { c.left = n }

// Read implements net.Conn. It fails with errTooLong once the limit of limitReads is
// reached.
func (c *conn) Read(b []byte) (int, error) {
	if c.left == unlimitedReads {
		return c.read(b)
	}
	if c.left == 0 {
		return 0, errTooLong
	}
	n, err := c.read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// read reads data that is already in the socket buffer even if the deadline has
// passed: this process may have been delayed rather than the endpoint. It takes the end of the
// connection for one only if no write has learnt of a reset.
func (c *conn) read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if err := c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	if err == io.EOF {
		err = c.writes.checkEnd()
	}
	return n, err
}

func (c *conn) close() { _ = c.Conn.Close() }

// abort closes the connection with a TCP reset. After an orderly close, an endpoint may take
// the end of the stream for a half-close and work on.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if this fails, the close is orderly
	}
	c.close()
}
