package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// TraceCmd collects the log lines of one request, job or item from the logs of
// several processes.
type TraceCmd struct {
	ID    string   `arg:"" help:"ID of a request, a job or an item."`
	Files []string `arg:"" optional:"" help:"Log files of processes; none: standard input." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (TraceCmd) Help() string {
	return `Prints the lines of all files that have the ID as their request or job, in order of time. Lines without a JSON object are skipped, as is the text before the object in a line.

Example: dandelionrelay trace 82c1f0a4 entry-1.log entry-2.log`
}

// Run executes the command.
func (c *TraceCmd) Run(env *Env) error {
	var lines []tracedLine
	if len(c.Files) == 0 {
		found, err := traceLines(os.Stdin, c.ID)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, path := range c.Files {
		found, err := traceFile(path, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &exitError{code: ExitFailure, err: fmt.Errorf("no log line has %q as its request or job", c.ID)}
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int { return a.time.Compare(b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(env.Stdout, l.text); err != nil {
			return err
		}
	}
	return nil
}

// tracedLine is one log line with its time.
type tracedLine struct {
	time time.Time
	text string
}

// maxLogLineBytes is the longest log line that is read. A longer one is an error.
const maxLogLineBytes = 1 << 20

// traceFile returns the JSON lines of the log file at path whose request or job is
// id.
func traceFile(path, id string) ([]tracedLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	found, err := traceLines(f, id)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return found, nil
}

// traceLines returns the JSON lines of a log whose request or job is id.
func traceLines(r io.Reader, id string) ([]tracedLine, error) {
	var found []tracedLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		text := lines.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields struct {
			Time    time.Time `json:"time"`
			Request string    `json:"request"`
			Job     string    `json:"job"`
		}
		if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
			continue // not a log line in JSON
		}
		if fields.Request == id || fields.Job == id {
			found = append(found, tracedLine{time: fields.Time, text: text[begin:]})
		}
	}
	return found, lines.Err()
}
