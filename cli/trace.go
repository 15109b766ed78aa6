package cli

import (
	"encoding/json"
	"fmt"
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
	err := readLogs(c.Files, func(line string) {
		if l, ok := traceLine(line, c.ID); ok {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return err
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

// traceLine returns a line in JSON whose request or job is id. It returns false for any
// other line.
func traceLine(line, id string) (tracedLine, bool) {
	if !strings.Contains(line, id) {
		return tracedLine{}, false
	}
	var fields struct {
		Time    time.Time `json:"time"`
		Request string    `json:"request"`
		Job     string    `json:"job"`
	}
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		return tracedLine{}, false // not a log line in JSON
	}
	return tracedLine{time: fields.Time, text: line}, fields.Request == id || fields.Job == id
}
