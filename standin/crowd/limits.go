package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// slowPieces is the number of pieces in which a slow caller sends a head.
const slowPieces = 27

// idle is the time for which a connection is idle before it is used again.
const idle = 12 * time.Second

// AtLimits returns requests to t that each keep the limits but reach one of them, by name. A
// function sends its request on a connection and returns the status of the response. Slow
// heads take headTime.
func AtLimits(t Target, headTime time.Duration) map[string]func(net.Conn) (int, error) {
	const length = "Content-Length: 8\r\n"
	oneLine := t.head("long-line") + length
	oneLine += "X: " + strings.Repeat("x", HeadBytes-len(oneLine)-len("X: \r\n\r\n")) + "\r\n\r\n"
	manyLines := fillHead(t.head("short-lines")+length, shortLine)
	body := strings.Repeat("x", BodyBytes)
	return map[string]func(net.Conn) (int, error){
		"long header line, slowly":   func(c net.Conn) (int, error) { return exchange(c, "question", pieces(oneLine), headTime) },
		"short header lines, slowly": func(c net.Conn) (int, error) { return exchange(c, "question", pieces(manyLines), headTime) },
		"large body": func(c net.Conn) (int, error) {
			return exchange(c, body, []string{withLength(t.head("body"), len(body))}, 0)
		},
		"idle connection": func(c net.Conn) (int, error) {
			head := func(id string) []string { return []string{withLength(t.head(id), len("question"))} }
			if status, err := exchange(c, "question", head("first"), 0); err != nil || status != http.StatusOK {
				return status, err
			}
			time.Sleep(idle)
			return exchange(c, "question", head("second"), 0)
		},
	}
}

// pieces splits a head into slowPieces.
func pieces(head string) []string {
	var list []string
	size := len(head)/slowPieces + 1
	for len(head) > size {
		list = append(list, head[:size])
		head = head[size:]
	}
	return append(list, head)
}

// exchange sends a request, whose head it sends in pieces over headTime, and returns the
// status of the response, which it reads whole.
func exchange(c net.Conn, body string, head []string, headTime time.Duration) (int, error) {
	for _, piece := range head {
		if _, err := io.WriteString(c, piece); err != nil {
			return 0, fmt.Errorf("send head: %w", err)
		}
		time.Sleep(headTime / time.Duration(len(head)))
	}
	if _, err := io.WriteString(c, body); err != nil {
		return 0, fmt.Errorf("send body: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, fmt.Errorf("read response: %w", err)
	}
	defer response.Body.Close() //nolint:errcheck // read to its end, or failed
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
