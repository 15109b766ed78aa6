package upstream

import (
	"io"
	"net"
	"sync"
	"time"
)

// writeEndTimeout is the time for which a read that finds the end of a connection waits for the
// end of the write in progress. A write that learns of a reset ends at once.
const writeEndTimeout = time.Second

// writes records how the writes on a connection end. A reset is reported to one system call
// only: if that is a write, the next read finds an orderly end.
type writes struct {
	mu      sync.Mutex
	pending chan struct{} // closed when the write in progress ends; nil: there is none
	err     error         // of a write
}

// do calls write, and records its error.
func (w *writes) do(write func() error) error {
	ended := make(chan struct{})
	w.mu.Lock()
	w.pending = ended
	w.mu.Unlock()
	err := write()
	w.mu.Lock()
	w.pending = nil
	if err != nil {
		w.err = err
	}
	w.mu.Unlock()
	close(ended)
	return err
}

// checkEnd returns io.EOF if all that was written has been taken over by the kernel, so that a
// read would have learnt of a reset, and io.ErrUnexpectedEOF otherwise.
func (w *writes) checkEnd() error {
	w.mu.Lock()
	pending := w.pending
	w.mu.Unlock()
	if pending != nil {
		select {
		case <-pending:
		case <-time.After(writeEndTimeout):
			return io.ErrUnexpectedEOF
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// resetConn is a connection of which reads fail with io.ErrUnexpectedEOF where they find the
// end after a write has failed, or while one is in progress that does not succeed soon.
type resetConn struct {
	net.Conn
	writes writes
}

// DetectResets returns c with reads that do not take a reset for an orderly end if a write has
// learnt of it. Clients of package net/http need this for responses that have neither a length
// nor chunks and end with their connection.
func DetectResets(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// Read implements net.Conn.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.writes.checkEnd()
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	var n int
	err := c.writes.do(func() (err error) {
		n, err = c.Conn.Write(b)
		return err
	})
	return n, err
}
