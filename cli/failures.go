package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// FailuresCmd groups the requests that were refused or failed by cause.
type FailuresCmd struct {
	By    []string `help:"Further fields to group by: ${enum}." enum:"route,customer,entry,endpoint" placeholder:"FIELD"`
	Top   int      `help:"Number of groups to print." default:"20"`
	Files []string `arg:"" optional:"" help:"Log files of gateways; none: standard input." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (FailuresCmd) Help() string {
	return `Reads the log lines of requests that gateways refused or that did not get their whole answer, and prints one line for each outcome, phase and cause: how many, how old the configuration was and how long the request had taken (medians), and the ID of one to pass to trace. The phase says how far the request had come: refused (no endpoint ran it), header (none came), first_event, stream.

Example: dandelionrelay failures --by entry,endpoint entry-1.log entry-2.log`
}

// requestLine is the part of a gateway's log line of a request that is needed here.
type requestLine struct {
	Message     string  `json:"message"`
	Request     string  `json:"request"`
	Route       string  `json:"route"`
	Customer    string  `json:"customer"`
	Entry       string  `json:"entry"`
	Endpoint    string  `json:"endpoint"`
	Outcome     string  `json:"outcome"`
	Reason      string  `json:"reason"`
	Cause       string  `json:"cause"`
	Began       int     `json:"began"`
	Status      int     `json:"status"`
	Events      int     `json:"events"`
	RefusedWith int     `json:"refused_with"`
	ConfigAgeMs float64 `json:"config_age_ms"`
	TookMs      float64 `json:"took_ms"`
}

// failureKey identifies a group of failures.
type failureKey struct {
	outcome, phase, cause, by string
}

// failureGroup is a group of failures with what the entries knew.
type failureGroup struct {
	failureKey
	example           string // ID of the first request
	configAges, times []float64
}

// Run executes the command.
func (c *FailuresCmd) Run(env *Env) error {
	groups := make(map[failureKey]*failureGroup)
	total, failed := 0, 0
	err := readLogs(c.Files, func(line string) {
		var l requestLine
		if json.Unmarshal([]byte(line), &l) != nil || l.Message != "request ended" && l.Message != "request refused" {
			return
		}
		total++
		if l.succeeded() {
			return
		}
		failed++
		c.add(groups, l)
	})
	if err != nil {
		return err
	}
	return c.print(env, groups, total, failed)
}

// succeeded reports whether the request got its whole answer, or its caller left before.
func (l requestLine) succeeded() bool { return l.Outcome == "answered" || l.Outcome == "caller_left" }

// phase returns how far the request had come when it failed.
func (l requestLine) phase() string {
	switch {
	case l.Events > 0:
		return "stream"
	case l.Status > 0:
		return "first_event"
	case l.Began > 0:
		return "header"
	}
	return "refused"
}

// variableText matches addresses, IDs and numbers, which differ between failures of the
// same cause.
var variableText = regexp.MustCompile(`\b[0-9a-f]*[0-9][0-9a-f.:\-]*\b`)

// causeText returns the cause or, for a refusal, the reason, without its variable parts.
func (l requestLine) causeText() string {
	return variableText.ReplaceAllString(cmp.Or(l.Cause, l.Reason), "N")
}

// add adds a failure to its group.
func (c *FailuresCmd) add(groups map[failureKey]*failureGroup, l requestLine) {
	var by []string
	for _, field := range c.By {
		by = append(by, map[string]string{"route": l.Route, "customer": l.Customer, "entry": l.Entry, "endpoint": l.Endpoint}[field])
	}
	key := failureKey{outcome: l.Outcome, phase: l.phase(), cause: l.causeText(), by: strings.Join(by, " ")}
	g := groups[key]
	if g == nil {
		g = &failureGroup{failureKey: key, example: l.Request}
		groups[key] = g
	}
	g.configAges = append(g.configAges, l.ConfigAgeMs)
	g.times = append(g.times, l.TookMs)
}

// print prints the largest groups.
func (c *FailuresCmd) print(env *Env, groups map[failureKey]*failureGroup, total, failed int) error {
	list := make([]*failureGroup, 0, len(groups))
	for _, g := range groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *failureGroup) int {
		return cmp.Or(cmp.Compare(len(b.times), len(a.times)), cmp.Compare(a.example, b.example))
	})
	if _, err := fmt.Fprintf(env.Stdout, "%d of %d requests failed\n", failed, total); err != nil {
		return err
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join([]string{"COUNT", "OUTCOME", "PHASE", "BY", "CONFIG AGE", "TOOK", "EXAMPLE", "CAUSE"}, "\t"))
	for _, g := range list[:min(c.Top, len(list))] {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			len(g.times), g.outcome, g.phase, cmp.Or(g.by, "-"), millis(median(g.configAges)), millis(median(g.times)), g.example, cmp.Or(g.cause, "-"))
	}
	return w.Flush()
}

// median returns the middle value of values, which must not be empty. It sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func millis(ms float64) time.Duration {
	return (time.Duration(ms * float64(time.Millisecond))).Round(time.Millisecond)
}
