package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// FuzzRequest_OneRequestIsWritten guards against requests that reach an endpoint as two, or as
// another one than was checked, whatever stands in the path and header of an item (UNASKED).
func FuzzRequest_OneRequestIsWritten(f *testing.F) {
	f.Add("/a/b?c=d", "X-Model", "m", "body")
	f.Add("/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "X", "1", "")
	f.Add("/a", "X: 1\r\n\r\nPOST /b HTTP/1.1\r\nY", "1", "")
	f.Add("/a", "Content-Length", "0", "POST /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("/a", "Transfer-Encoding", "chunked", "0\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("/a", "transfer-encoding ", "chunked", "0\r\n\r\n")
	f.Add("/a", "Host", "other", "x")
	f.Add("/\x00", "X", "1\r\nY: 2", "")
	f.Fuzz(func(t *testing.T, path, name, value, body string) {
		g := gomega.NewWithT(t)
		sent := make(http.Header)
		sent.Set(name, value)
		r := &Request{Method: http.MethodPost, URI: path, Host: "h.example", Header: HeaderFor(sent, plainDialect{}, RequestMetadata{}), Body: []byte(body)}
		if CheckTarget(path) != nil || CheckField(name, value) != nil || r.check() != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(append(appendHead(nil, r), r.Body...)))
		got, err := http.ReadRequest(reader)
		if err != nil {
			return // the endpoint refuses it
		}
		g.Expect(got.RequestURI).To(gomega.Equal(path))
		g.Expect(got.Host).To(gomega.Equal("h.example"))
		read, err := io.ReadAll(got.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(read)).To(gomega.Equal(body))
		rest, _ := io.ReadAll(reader)
		g.Expect(rest).To(gomega.BeEmpty(), "a second request")
	})
}

// plainDialect is a Dialect that writes nothing.
type plainDialect struct{ Dialect }

func (plainDialect) Write(http.Header, RequestMetadata) {}
