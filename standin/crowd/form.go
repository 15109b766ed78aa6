package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// Limits that the requests of a crowd keep, unless their form says otherwise, in bytes.
const (
	HeadBytes = 16 << 10
	BodyBytes = 4 << 20
)

// Sizes of what a crowd sends, in bytes, and numbers.
const (
	chunkBytes = 1 << 10
	// endlessBytes is sent by forms without end, unless the connection is closed before.
	endlessBytes = 1 << 20
	// unreadRequests is the number of requests of a connection that does not read: their
	// responses do not fit in the buffers of the kernel.
	unreadRequests = 20_000
	// oversizedHeadBytes is the size of a head over the limit.
	oversizedHeadBytes = 5 * HeadBytes / 2
)

// Target says where the requests of a crowd go and what makes them legal there.
type Target struct {
	Path   string
	Host   string
	Fields func(id string) string // lines of the header, each with its line break
}

// head returns the head of a POST without the empty line at its end.
func (t Target) head(id string) string {
	return "POST " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + t.Fields(id)
}

// Form is what one connection of a crowd sends.
type Form struct {
	Name string
	// Conns is the number of connections that a crowd of this form opens.
	Conns int
	send  func(w io.Writer, id string)
	// unread says that responses are not read, and hardly taken by the kernel.
	unread bool
}

// Numbers of connections of a crowd.
const (
	manyConns = 800 // whose requests have small bodies, or no end of their head
	bodyConns = 40  // whose requests have bodies of BodyBytes
)

// Forms returns all forms of crowds but those of JobForms, at t.
func Forms(t Target) []Form {
	body := bytes.Repeat([]byte("x"), BodyBytes)
	endlessLines := fill("", shortLine, endlessBytes)
	emptyLines := strings.Repeat("\r\n", endlessBytes/2)
	return []Form{
		{Name: "no bytes", Conns: manyConns, send: func(io.Writer, string) {}},
		{Name: "many short header lines", Conns: manyConns, send: func(w io.Writer, id string) {
			write(w, fillHead(t.head(id)+"Content-Length: 2\r\n", shortLine)+"x")
		}},
		{Name: "one odd header line repeated", Conns: manyConns, send: func(w io.Writer, id string) {
			write(w, fillHead(t.head(id)+"Content-Length: 2\r\n", oddLine)+"x")
		}},
		{Name: "head over the limit", Conns: manyConns, send: func(w io.Writer, id string) {
			write(w, fill(t.head(id), shortLine, oversizedHeadBytes))
		}},
		{Name: "head without end", Conns: manyConns, send: func(w io.Writer, id string) {
			write(w, t.head(id))
			write(w, endlessLines)
		}},
		{Name: "empty lines without end", Conns: manyConns, send: func(w io.Writer, _ string) {
			write(w, emptyLines)
		}},
		{Name: "large body short of its end", Conns: bodyConns, send: func(w io.Writer, id string) {
			write(w, withLength(t.head(id), len(body)))
			_, _ = w.Write(body[:len(body)-1])
		}},
		{Name: "large body piece by piece, short of its end", Conns: bodyConns, send: func(w io.Writer, id string) {
			write(w, t.head(id)+"Transfer-Encoding: chunked\r\n\r\n")
			writeChunks(w, body)
		}},
		{Name: "large body whole", Conns: bodyConns, send: func(w io.Writer, id string) {
			write(w, withLength(t.head(id), len(body)))
			_, _ = w.Write(body)
		}},
	}
}

// UnreadForm returns a form of many small requests on each connection, one behind the other,
// whose responses are not read.
func UnreadForm(t Target) Form {
	requests := strings.Repeat("GET "+t.Path+" HTTP/1.1\r\nHost: "+t.Host+"\r\n\r\n", unreadRequests)
	return Form{Name: "unread responses", Conns: manyConns, unread: true, send: func(w io.Writer, _ string) { write(w, requests) }}
}

// JobForms returns forms of batch jobs of legal size that are expensive to decode, at t.
// items are the JSON texts before and after the items of a job, fields those before and
// after the fields of the header of an item.
func JobForms(t Target, items, fields [2]string) []Form {
	return []Form{
		JSONForm("job of many empty items", t, items, func(int) string { return "{}" }),
		JSONForm("job of many header fields", t, fields, func(n int) string { return fmt.Sprintf(`"%06x":""`, n) }),
	}
}

// JSONForm returns a form of requests with a JSON body of legal size at t: around's first text,
// as many elements as fit, and around's second text.
func JSONForm(name string, t Target, around [2]string, element func(n int) string) Form {
	body := fillJSON(around, element)
	return Form{Name: name, Conns: bodyConns, send: func(w io.Writer, id string) {
		write(w, withLength(t.head(id), len(body)))
		_, _ = w.Write(body)
	}}
}

// PeerForms returns forms that only a listener for calls of net/rpc, which gob encodes, takes
// for the beginning of a message.
func PeerForms() []Form {
	const length = BodyBytes - 16 // of the message; its length and type count as well
	// gob writes the number of bytes of a length, negated, and then the length.
	message := append([]byte{^byte(2), length >> 16, length >> 8 & 0xff, length & 0xff}, bytes.Repeat([]byte{1}, length-1)...)
	return []Form{{Name: "large call short of its end", Conns: bodyConns, send: func(w io.Writer, _ string) {
		_, _ = w.Write(message)
	}}}
}

// shortLine returns the header line n, with a name that no other line has.
func shortLine(n int) string { return fmt.Sprintf("%04x:1\r\n", n) }

// oddLine returns a header line whose name and value are as short as can be.
func oddLine(int) string { return "!:\r\n" }

// fill appends lines to head while it stays within size bytes.
func fill(head string, line func(n int) string, size int) string {
	var b strings.Builder
	b.WriteString(head)
	for n := 0; b.Len()+len(line(n)) <= size; n++ {
		b.WriteString(line(n))
	}
	return b.String()
}

// fillHead returns a whole head of at most HeadBytes.
func fillHead(head string, line func(n int) string) string {
	const end = "\r\n"
	return fill(head, line, HeadBytes-len(end)) + end
}

func withLength(head string, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)
}

// fillJSON returns a JSON text of at most BodyBytes: around's first part, as many elements as
// fit, separated by commas, and around's second part.
func fillJSON(around [2]string, element func(n int) string) []byte {
	separated := func(n int) string { return element(n) + "," }
	text := fill(around[0], separated, BodyBytes-len(around[1]))
	return []byte(strings.TrimSuffix(text, ",") + around[1])
}

// writeChunks writes body in chunks, without the empty chunk that would end it.
func writeChunks(w io.Writer, body []byte) {
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}

// write ignores errors: they mean that the process has closed the connection.
func write(w io.Writer, s string) { _, _ = io.WriteString(w, s) }
