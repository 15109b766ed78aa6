package jobs

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"dandelionrelay/api"
	"dandelionrelay/config"
)

// lineReader reads a file line by line in bounded memory.
type lineReader struct {
	reader *bufio.Reader
	number int   // of the line returned last, from 1
	bytes  int64 // read so far
}

// next returns the next line without its line ending. It returns a nil line for
// one longer than MaxItemBytes. The line is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	l.number++
	b, err := l.reader.ReadSlice('\n')
	l.bytes += int64(len(b))
	if err == nil || errors.Is(err, io.EOF) && len(b) > 0 {
		return bytes.TrimRight(b, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		b, err = l.reader.ReadSlice('\n')
		l.bytes += int64(len(b))
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return nil, nil
}

// checker validates the lines of one file and collects findings.
type checker struct {
	snapshot     *config.Snapshot
	customer     string
	endpoint     string // URL that all lines must have; empty: any
	name         string // of the file
	targets      []target
	idLines      map[[16]byte]int // line number by digest of the custom_id
	findings     []api.Finding    // the first MaxFindings
	findingCount int              // of all findings
}

func newChecker(snapshot *config.Snapshot, customer, endpoint, name string) *checker {
	return &checker{
		snapshot: snapshot,
		customer: customer,
		endpoint: endpoint,
		name:     name,
		idLines:  make(map[[16]byte]int),
	}
}

// addFinding counts a finding. Only the first MaxFindings are kept.
func (c *checker) addFinding(line int, pointer, format string, args ...any) {
	c.findingCount++
	if len(c.findings) >= MaxFindings {
		return
	}
	c.findings = append(c.findings, api.Finding{
		File:    c.name,
		Line:    line,
		Pointer: pointer,
		Message: fmt.Sprintf(format, args...),
	})
}

// checkLine returns the item of a line, or adds findings and returns false.
func (c *checker) checkLine(line int, b []byte) (chunkItem, json.RawMessage, bool) {
	if b == nil {
		c.addFinding(line, "", "line exceeds %d bytes", MaxItemBytes)
		return chunkItem{}, nil, false
	}
	before := c.findingCount
	var in api.BatchLine
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		c.addFinding(line, "", "not a batch item: %v", err)
		return chunkItem{}, nil, false
	}
	if decoder.More() {
		c.addFinding(line, "", "more than one JSON value")
	}
	c.checkID(line, in.CustomID)
	if in.Method != http.MethodPost {
		c.addFinding(line, "/method", "must be %s", http.MethodPost)
	}
	if c.endpoint != "" && in.URL != c.endpoint {
		c.addFinding(line, "/url", "%q is not the endpoint %q of the job", in.URL, c.endpoint)
	}
	index := c.targetOf(line, &in)
	item := chunkItem{CustomID: in.CustomID, Target: index, Size: len(in.Body)}
	return item, in.Body, c.findingCount == before
}

// checkID validates a custom_id, which must be unique in the file.
func (c *checker) checkID(line int, id string) {
	if id == "" || len(id) > MaxCustomID {
		c.addFinding(line, "/custom_id", "must have 1 to %d bytes", MaxCustomID)
		return
	}
	digest := sha256.Sum256([]byte(id))
	short := [16]byte(digest[:16])
	if first, ok := c.idLines[short]; ok {
		c.addFinding(line, "/custom_id", "%q is already used in line %d", id, first)
		return
	}
	if len(c.idLines) < MaxItems {
		c.idLines[short] = line
	}
}

// modelPaths are the URLs whose route depends on the model in the body.
var modelPaths = []string{"/v1/chat/completions", "/v1/completions"}

// targetOf returns the index of the target of a line. It adds a finding and
// returns 0 if there is none.
func (c *checker) targetOf(line int, in *api.BatchLine) int {
	if len(in.Body) == 0 || in.Body[0] != '{' {
		c.addFinding(line, "/body", "must be an object")
		return 0
	}
	var id string
	var route config.Route
	var ok bool
	if slices.Contains(modelPaths, in.URL) {
		var body struct {
			Model string `json:"model"`
		}
		if err := json.Unmarshal(in.Body, &body); err != nil || body.Model == "" {
			c.addFinding(line, "/body/model", "must name a model")
			return 0
		}
		if id, route, ok = c.snapshot.RouteByModel(body.Model); !ok {
			c.addFinding(line, "/body/model", "no route for model %q", body.Model)
			return 0
		}
	} else if id, route, ok = c.snapshot.RouteByPath(in.URL); !ok || !strings.HasPrefix(in.URL, "/") {
		c.addFinding(line, "/url", "no route for %q", in.URL)
		return 0
	}
	if len(route.Customers) > 0 && !slices.Contains(route.Customers, c.customer) {
		c.addFinding(line, "/url", "the customer may not use this route")
		return 0
	}
	return c.targetIndex(line, target{Deployment: route.Deployment, Path: in.URL, Idempotent: route.Idempotent, Route: id})
}

// maxTargets is the largest number of different targets in one file.
const maxTargets = 64

// targetIndex returns the index of t in the targets of the file and adds t if
// it is new.
func (c *checker) targetIndex(line int, t target) int {
	if i := slices.Index(c.targets, t); i >= 0 {
		return i
	}
	if len(c.targets) == maxTargets {
		c.addFinding(line, "/url", "more than %d different targets in one file", maxTargets)
		return 0
	}
	c.targets = append(c.targets, t)
	return len(c.targets) - 1
}
