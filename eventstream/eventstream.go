// Package eventstream reads a stream in the format text/event-stream as complete events
// and tracks the position in it.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one event; an endpoint that sends a larger
// one is treated as faulty.
const maxEventBytes = 1 << 20

// ErrTooLong is returned for an event that is larger than maxEventBytes.
var ErrTooLong = errors.New("eventstream: event exceeds the limit of 1 MiB")

// Event is one complete event, including the blank line that ends it.
type Event struct {
	Raw   []byte // valid until the next call to Next
	ID    int64
	HasID bool // the event has an integer ID
}

// Reader reads the events of a stream.
type Reader struct {
	r         *bufio.Reader
	buf       []byte
	lineStart int // start of the incomplete line in buf
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Next returns the next complete event. At the end of the stream it returns io.EOF,
// or io.ErrUnexpectedEOF if the last event is incomplete. It returns ErrTooLong for
// an event that is too large.
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

// line appends the rest of a line to the buffer and returns the complete line.
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

// field returns the value of line if line sets the field called name.
func field(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || string(line[:len(name)]) != name || line[len(name)] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(line[len(name)+1:], []byte(" ")), true
}

// AppendData appends the data lines of the event to out, joined by line feeds.
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

// Cursor is a position in a stream, across all endpoints that sent parts of it. It is
// between two events; the zero value is the start of the stream.
type Cursor struct {
	LastID int64 // ID of the last event before the cursor that has one
	HasID  bool  // an event with an ID is before the cursor
}

// IsDuplicate reports whether e is before the cursor. It is false if the IDs are unknown.
func (c Cursor) IsDuplicate(e Event) bool { return c.HasID && e.HasID && e.ID <= c.LastID }

// HasGap reports whether events are missing between the cursor and e, or e is before the
// cursor. It is false if the IDs are unknown.
func (c Cursor) HasGap(e Event) bool { return c.HasID && e.HasID && e.ID != c.LastID+1 }

// Advance moves the cursor past e. Events without an ID do not move it.
func (c *Cursor) Advance(e Event) {
	if e.HasID {
		c.LastID, c.HasID = e.ID, true
	}
}
