//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the time
// since the start in seconds.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
