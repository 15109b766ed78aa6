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
)

// MaxMessageBytes is the largest request or response that is read.
const MaxMessageBytes = 4 << 20

// WriteTimeout bounds the time that sending one message may take. A call can
// end this much after its context.
const WriteTimeout = 500 * time.Millisecond

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("peer")

// Unreachable says that a call was not answered: the peer may have run it.
var Unreachable = Errors.NewType("unreachable", errorx.Temporary())

var errTooLarge = Errors.NewType("too_large").New("message exceeds %d bytes", MaxMessageBytes)

// budgetReader fails once more than left bytes were read since the last reset.
type budgetReader struct {
	r    io.Reader
	left int
}

func (b *budgetReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}

// ReadByte keeps gob from adding a buffer of its own, which would read past
// the message.
func (b *budgetReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b, one[:])
	return one[0], err
}

// codec carries net/rpc messages as gob with a size limit on each. It serves
// as client and as server codec.
type codec struct {
	conn   net.Conn
	budget *budgetReader
	dec    *gob.Decoder
	enc    *gob.Encoder
	out    *bufio.Writer
	once   sync.Once
	meter  *meter
	wrote  *countingWriter
	method string // of the message that is read
}

// countingWriter counts the bytes that pass. It belongs to one writer.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

func newCodec(conn net.Conn, m *meter) *codec {
	budget := &budgetReader{r: bufio.NewReader(conn)}
	wrote := &countingWriter{w: conn}
	out := bufio.NewWriter(wrote)
	return &codec{
		meter:  m,
		wrote:  wrote,
		conn:   conn,
		budget: budget,
		dec:    gob.NewDecoder(budget),
		enc:    gob.NewEncoder(out),
		out:    out,
	}
}

func (c *codec) readHeader(header any) error {
	c.budget.left = MaxMessageBytes
	return c.dec.Decode(header)
}

func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	c.meter.read(c.method, MaxMessageBytes-c.budget.left)
	if err != nil {
		return c.fail(err)
	}
	return nil
}

func (c *codec) write(method string, header, body any) error {
	c.wrote.n = 0
	defer func() { c.meter.wrote(method, c.wrote.n) }()
	if err := c.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return c.fail(err)
	}
	if err := c.enc.Encode(header); err != nil {
		return c.fail(err)
	}
	if err := c.enc.Encode(body); err != nil {
		return c.fail(err)
	}
	if err := c.out.Flush(); err != nil {
		return c.fail(err)
	}
	return nil
}

// fail closes the connection: after a failed encode or decode the stream is
// unusable.
func (c *codec) fail(err error) error {
	_ = c.Close()
	return err
}

// Close closes the connection once.
func (c *codec) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Close() })
	return err
}

type serverCodec struct{ *codec }

func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := s.readHeader(r)
	s.method = r.ServiceMethod
	return err
}
func (s serverCodec) ReadRequestBody(body any) error { return s.readBody(body) }
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return s.write(r.ServiceMethod, r, body)
}

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if !c.meter.knows(r.ServiceMethod) {
		c.meter.know(r.ServiceMethod)
	}
	return c.write(r.ServiceMethod, r, body)
}
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	return err
}
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
