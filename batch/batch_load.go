package batch

import (
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/placement"
)

// recordStart logs and counts the start of an item, with what was known of the load.
func (r *runner) recordStart(it runnableItem, grant *placement.Grant) {
	known := grant.LoadAtStart()
	r.Metrics.starts.WithLabelValues(known.Phase).Inc()
	withLoad(r.itemEvent(it, grant), known).Dur("remaining_ms", it.times.Remaining).Dur("until_due_ms", it.times.UntilDue).
		Int("from_event", it.events).Msg("batch item started")
}

// recordPreemption logs and counts the preemption of an item after some events of its run,
// with what was known of the load. It does nothing if the run ended for another reason.
func (r *runner) recordPreemption(it runnableItem, grant *placement.Grant, events int, took time.Duration) {
	known, preempted := grant.Preempted()
	if !preempted {
		return
	}
	label := "some"
	if events == 0 {
		label = "none"
	}
	r.Metrics.preemptions.WithLabelValues(label).Inc()
	withLoad(r.itemEvent(it, grant), known).Dur("remaining_ms", max(0, it.times.Remaining-took)).Dur("until_due_ms", time.Until(it.due)).
		Int("events", events).Dur("took_ms", took).Msg("batch item preempted")
}

// itemEvent returns a log line about an item at the endpoint of grant.
func (r *runner) itemEvent(it runnableItem, grant *placement.Grant) *zerolog.Event {
	return r.Log.Info().Str("job", it.job.ID).Str("request", it.job.Items[it.id.item].ID).Str("customer", it.job.Customer).Str("endpoint", grant.Endpoint.ID)
}

// withLoad adds what was known of the load to a log line.
func withLoad(e *zerolog.Event, k placement.BatchLoad) *zerolog.Event {
	return e.Str("phase", k.Phase).Dur("trough_left_ms", k.LowLeft).Int("online", k.Online).Int("online_highest", k.Highest).Int("slots", k.Slots).Int("batch", k.Batch)
}
