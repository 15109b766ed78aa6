package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/ingress"
)

// MaxMessageBytes is the maximum size of a request or reply that is read.
const MaxMessageBytes = 4 << 20

// WriteTimeout is the timeout for sending one message. Call can return this much
// later than the deadline of its context.
const WriteTimeout = 500 * time.Millisecond

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("peer")

// Unreachable is the type of errors of calls without a reply. The peer may have
// run such a call.
var Unreachable = Errors.NewType("unreachable", errorx.Temporary())

var errTooLarge = Errors.NewType("too_large").New("message exceeds %d bytes", MaxMessageBytes)

// messageReader limits the bytes read of one message: it fails with errTooLarge
// once remaining is 0. The codec resets remaining for each message.
type messageReader struct {
	reader    io.Reader
	remaining int
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > m.remaining {
		p = p[:m.remaining]
	}
	n, err := m.reader.Read(p)
	m.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader. It keeps gob from adding a buffer of its
// own, which would read past the end of the message.
func (m *messageReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(m, one[:])
	return one[0], err
}

// codec encodes net/rpc messages as gob and limits the size of each that it
// reads. clientCodec and serverCodec embed it.
type codec struct {
	conn      net.Conn
	in        *messageReader
	dec       *gob.Decoder
	enc       *gob.Encoder
	out       *bufio.Writer
	closeOnce sync.Once
	meter     *meter
	written   *countingWriter
	method    string // method of the message being read
}

// countingWriter counts the bytes written to writer. It is not safe for
// concurrent use.
type countingWriter struct {
	writer io.Writer
	count  int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.writer.Write(p)
	c.count += n
	return n, err
}

func newCodec(conn net.Conn, m *meter) *codec {
	in := &messageReader{reader: bufio.NewReader(conn)}
	written := &countingWriter{writer: conn}
	out := bufio.NewWriter(written)
	return &codec{
		meter:   m,
		written: written,
		conn:    conn,
		in:      in,
		dec:     gob.NewDecoder(in),
		enc:     gob.NewEncoder(out),
		out:     out,
	}
}

func (c *codec) readHeader(header any) error {
	c.in.remaining = MaxMessageBytes
	return c.dec.Decode(header)
}

func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	c.meter.recordReceived(c.method, MaxMessageBytes-c.in.remaining)
	if err != nil {
		return c.closeOnError(err)
	}
	return nil
}

func (c *codec) write(method string, header, body any) error {
	c.written.count = 0
	defer func() { c.meter.recordSent(method, c.written.count) }()
	if err := c.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return c.closeOnError(err)
	}
	if err := c.enc.Encode(header); err != nil {
		return c.closeOnError(err)
	}
	if err := c.enc.Encode(body); err != nil {
		return c.closeOnError(err)
	}
	if err := c.out.Flush(); err != nil {
		return c.closeOnError(err)
	}
	return nil
}

// closeOnError closes the connection and returns err: after a failed encode or
// decode the gob stream is unusable.
func (c *codec) closeOnError(err error) error {
	_ = c.Close()
	return err
}

// Close closes the connection. Further calls return nil.
func (c *codec) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.conn.Close() })
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := s.readHeader(r)
	s.method = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (s serverCodec) ReadRequestBody(body any) error {
	defer ingress.MessageReceived(s.conn)
	return s.readBody(body)
}

func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return s.write(r.ServiceMethod, r, body)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if !c.meter.hasMethod(r.ServiceMethod) {
		c.meter.addMethod(r.ServiceMethod)
	}
	return c.write(r.ServiceMethod, r, body)
}
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	return err
}
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
