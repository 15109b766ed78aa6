// Package eventstream splits a text/event-stream into whole events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event; an endpoint that sends a larger one is
// taken for broken.
const maxEventBytes = 1 << 20

// ErrTooLong says that an event is larger than the reader takes.
var ErrTooLong = errors.New("the event is too long")

// Event is one whole event with the blank line that ends it.
type Event struct {
	Raw   []byte // valid until the next call of Next
	ID    int64
	HasID bool // the event has a whole number as its id
}

// Reader reads events one after another.
type Reader struct {
	r         *bufio.Reader
	buf       []byte
	lineStart int // of the unfinished line in buf
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next whole event. At the end of the stream it fails with
// io.EOF, or with io.ErrUnexpectedEOF if an event was not finished.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	r.lineStart = 0
	var e Event
	for {
		line, err := r.line()
		if err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			e.Raw = r.buf
			return e, nil
		}
		if value, ok := field(text, "id"); ok {
			e.ID, err = strconv.ParseInt(string(value), 10, 64)
			e.HasID = err == nil
		}
	}
}

// line appends the rest of a line to the buffer and returns the whole line.
func (r *Reader) line() ([]byte, error) {
	for {
		part, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return nil, ErrTooLong
		}
		if err == nil {
			line := r.buf[r.lineStart:]
			r.lineStart = len(r.buf)
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// field returns the value of a line that sets the field name.
func field(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || string(line[:len(name)]) != name || line[len(name)] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(line[len(name)+1:], []byte(" ")), true
}

// AppendData appends the data lines of an event to out, joined by line feeds.
func (e Event) AppendData(out []byte) []byte {
	first := true
	for _, line := range bytes.Split(e.Raw, []byte("\n")) {
		value, ok := field(bytes.TrimRight(line, "\r"), "data")
		if !ok {
			continue
		}
		if !first {
			out = append(out, '\n')
		}
		first = false
		out = append(out, value...)
	}
	return out
}

// Cursor is how far a stream has been taken over all endpoints that sent parts
// of it. The zero value is at its begin.
type Cursor struct {
	LastID int64 // of the last event taken
	HasID  bool  // an event with an id was taken
}

// IsDuplicate reports whether e was taken before.
func (c Cursor) IsDuplicate(e Event) bool { return c.HasID && e.HasID && e.ID <= c.LastID }

// HasGap reports whether an event between the last one taken and e is missing.
func (c Cursor) HasGap(e Event) bool { return c.HasID && e.HasID && e.ID != c.LastID+1 }

// Advance moves the cursor behind e.
func (c *Cursor) Advance(e Event) {
	if e.HasID {
		c.LastID, c.HasID = e.ID, true
	}
}
