package cli

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"dandelionrelay/explain"
)

// printExplanation prints an explanation for people.
func printExplanation(out io.Writer, r *explain.Reply) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s in %s, %s\n", r.Entry, r.DataCentre, r.Time.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "knows\t%s\n", knowledgeText(r.Knowledge))
	if r.Route != nil {
		fmt.Fprintf(w, "route\t%s (%s%s)\n", r.Route.ID, r.Route.Host, r.Route.PathPrefix)
	}
	fmt.Fprintf(w, "customer\t%s\n", cmp.Or(r.Customer, "none"))
	if r.Rate != nil {
		fmt.Fprintf(w, "rate\t%s\n", rateText(r.Rate))
	}
	for _, homes := range r.Homes {
		fmt.Fprintf(w, "homes\t%s\n", strings.Join(homes, ", "))
	}
	if len(r.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated\t%s\n", strings.Join(r.Evacuated, ", "))
	}
	if r.Waiting != "" {
		fmt.Fprintf(w, "waiting\tno item starts: %s\n", r.Waiting)
	}
	if r.Refusal != nil {
		fmt.Fprintf(w, "decision\t%s\n", refusalText(r.Refusal))
	}
	for _, t := range r.Targets {
		fmt.Fprintf(w, "%s\t%s\n", decisionLabel(r), targetText(r, t))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, t := range r.Targets {
		if err := printEndpoints(out, t); err != nil {
			return err
		}
	}
	return nil
}

// decisionLabel is the label of what would happen at a deployment.
func decisionLabel(r *explain.Reply) string {
	if r.Refusal != nil {
		return "otherwise"
	}
	return "decision"
}

// targetText says what would happen at one deployment.
func targetText(r *explain.Reply, t explain.Target) string {
	text := "deployment " + t.Deployment
	if t.Share < 1 {
		text += fmt.Sprintf(" (%.0f%% of requests)", 100*t.Share)
	}
	switch {
	case t.Refusal != nil:
		return text + ": " + refusalText(t.Refusal)
	case r.Job && (len(t.Candidates) == 0 || r.Waiting != ""):
		return text + ": accepted, items wait"
	case r.Job:
		return text + ": accepted, an item starts at " + t.Candidates[0].ID
	case len(t.Candidates) == 0:
		return text + ": no endpoint"
	}
	return text + ": sent to " + t.Candidates[0].ID
}

func refusalText(r *explain.Refusal) string {
	text := fmt.Sprintf("refused with %d %s: %s", r.Status, r.Code, r.Message)
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf("; Retry-After %s", millis(r.RetryAfterMs))
	}
	return text
}

func rateText(r *explain.Rate) string {
	text := fmt.Sprintf("%g a second, burst %g: %.2f left, of a share of %.2f: ", r.PerSecond, r.Burst, r.Level, r.Share)
	if r.Admitted {
		return text + "admitted"
	}
	return text + fmt.Sprintf("not admitted, a token is due in %s", millis(r.WaitMs))
}

func knowledgeText(k explain.Knowledge) string {
	oldest, timedOut := 0.0, 0
	for _, r := range k.Reports {
		if r.TimedOut {
			timedOut++
			continue
		}
		oldest = max(oldest, r.AgeMs)
	}
	text := fmt.Sprintf("configuration %d (%s), endpoints (%s), ", k.ConfigVersion, feedText(k.Config), feedText(k.Endpoints))
	text += "reports of other entries: " + fmt.Sprint(len(k.Reports)-timedOut)
	if len(k.Reports) > timedOut {
		text += fmt.Sprintf(" (up to %s old)", millis(oldest))
	}
	if timedOut > 0 {
		text += fmt.Sprintf(", %d timed out", timedOut)
	}
	return text
}

func feedText(f explain.Feed) string {
	text := "never confirmed"
	if f.AgeMs >= 0 {
		text = fmt.Sprintf("%s old", millis(f.AgeMs))
	}
	if f.LostMs > 0 {
		text += fmt.Sprintf(", store lost for %s", millis(f.LostMs))
	}
	return text
}

// printEndpoints prints the endpoints of a deployment: the candidates in their order, then
// the excluded ones.
func printEndpoints(out io.Writer, t explain.Target) error {
	fmt.Fprintf(out, "\ndeployment %s: %s, %d excluded\n", t.Deployment, countNoun(len(t.Candidates), "candidate"), len(t.Excluded))
	if len(t.Candidates)+len(t.Excluded) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDATA CENTRE\tVERSION\tCOST\tWAIT\tONLINE\tBATCH\tSLOTS\tCOLD\tRAMP\tEXCLUDED")
	for _, e := range t.Candidates {
		printEndpoint(w, e, "-")
	}
	for _, e := range t.Excluded {
		reason := strings.Join(e.Reasons, ", ")
		if e.RetryMs > 0 {
			reason += fmt.Sprintf(" (for %s)", millis(e.RetryMs))
		}
		printEndpoint(w, e, reason)
	}
	return w.Flush()
}

func printEndpoint(w io.Writer, e explain.Endpoint, reason string) {
	cold, ramp := "-", "-"
	if e.ColdLeftMs > 0 {
		cold = millis(e.ColdLeftMs).String()
	}
	if e.Ramp > 0 {
		ramp = fmt.Sprint(e.Ramp)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
		e.ID, e.DataCentre, cmp.Or(e.Version, "-"), millis(e.CostMs), millis(e.WaitMs), e.Online, e.Batch, e.Slots, cold, ramp, reason)
}
