package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// SchemeResult is the result of a run under one scheme.
type SchemeResult struct {
	Scheme string
	*Result
}

// columns are the names of the report's columns, in order. broken counts the requests
// that failed without a response or with an incomplete one, whole_p99_ms is the latency
// of complete responses, and inside and refused_inside count requests within the rate
// limit.
var columns = []string{
	"scheme", "customer", "sent", "done", "refused", "refused_as", "broken",
	"ttft_p50_ms", "ttft_p99_ms", "whole_p99_ms", "inside", "refused_inside", "served_share", "tokens_per_s", "cached_share", "items_done", "items_per_s",
}

// rows returns a row for each customer and one for all of them. The served share of
// the latter is the lowest one of all customers.
func (s SchemeResult) rows() [][]string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(s.Customers)) {
		stats := s.Customers[name]
		rows = append(rows, s.row(name, stats, fairness{stats.WithinLimit, stats.refusedWithinLimit(), stats.servedShare()}, nil))
	}
	withinLimit, refused := s.totalsWithinLimit()
	return append(rows, s.row("all", s.Total(), fairness{withinLimit, refused, s.minServedShare()}, s.Jobs))
}

// fairness holds the values of the columns on requests within the rate limit: their
// number, how many of them were refused, and the served share (see servedShare).
type fairness struct {
	withinLimit, refused int
	servedShare          float64 // in the row of all customers, the lowest of their shares
}

func (s SchemeResult) row(customer string, stats *CustomerStats, f fairness, jobs []JobResult) []string {
	refused, codes := refusals(stats)
	items, perSecond := jobTotals(jobs)
	return []string{
		s.Scheme, customer, strconv.Itoa(stats.Sent), strconv.Itoa(stats.Done), strconv.Itoa(refused), codes, strconv.Itoa(stats.Incomplete),
		millis(stats.FirstToken.ValueAtQuantile(50)), millis(stats.FirstToken.ValueAtQuantile(99)),
		millis(stats.Latency.ValueAtQuantile(99)),
		strconv.Itoa(f.withinLimit), strconv.Itoa(f.refused), ratio(f.servedShare, 1),
		ratio(float64(stats.Tokens), s.Elapsed.Seconds()), ratio(float64(stats.Cached), float64(stats.Prompt)),
		items, perSecond,
	}
}

// refusals returns the number of refused requests and the codes of the refusals.
func refusals(stats *CustomerStats) (n int, codes string) {
	var list []string
	for _, code := range slices.Sorted(maps.Keys(stats.Refused)) {
		n += stats.Refused[code]
		list = append(list, string(code))
	}
	if n == 0 {
		return 0, "-"
	}
	return n, strings.Join(list, "+")
}

// jobTotals returns the number of items done in all jobs, and that number per second of
// the duration of the longest job.
func jobTotals(jobs []JobResult) (items, perSecond string) {
	done := 0
	var took time.Duration
	for _, j := range jobs {
		done += j.Completed
		took = max(took, j.Duration)
	}
	if len(jobs) == 0 {
		return "-", "-"
	}
	return strconv.Itoa(done), ratio(float64(done), took.Seconds())
}

// millis formats microseconds as milliseconds.
func millis(micros int64) string {
	return strconv.FormatFloat(float64(micros)/1000, 'f', 1, 64)
}

// ratio formats a/b, or "-" if b is 0.
func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return strconv.FormatFloat(a/b, 'f', 3, 64)
}

// WriteTable writes results as an aligned table.
func WriteTable(w io.Writer, results []SchemeResult) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range table(results) {
		for _, cell := range row {
			fmt.Fprintf(t, "%s\t", cell)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// WriteCSV writes results as comma-separated values.
func WriteCSV(w io.Writer, results []SchemeResult) error {
	c := csv.NewWriter(w)
	if err := c.WriteAll(table(results)); err != nil {
		return err
	}
	return c.Error()
}

func table(results []SchemeResult) [][]string {
	rows := [][]string{columns}
	for _, r := range results {
		rows = append(rows, r.rows()...)
	}
	return rows
}
