package jobs

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts items of the partitions that this entry owns.
type metrics struct {
	completed *prometheus.CounterVec
	assigned  *prometheus.CounterVec // attempts sent to sidecars
}

// newMetrics returns the metrics of s and registers them with reg unless that
// is nil.
func newMetrics(reg prometheus.Registerer, s *Service) *metrics {
	m := &metrics{
		completed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_items_completed_total",
			Help: "Items whose completion was recorded first, counted by the owner of the job, by customer and whether they failed.",
		}, []string{"customer", "failed"}),
		assigned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_batch_items_handed_out_total",
			Help: "Attempts at items handed to sidecars, by customer.",
		}, []string{"customer"}),
	}
	if reg == nil {
		return m
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "relay_batch_items_open",
		Help: "Items without a completion, of the open jobs that this entry owns.",
	}, func() float64 { return float64(s.openWork().items) })
	due := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "relay_batch_earliest_due_timestamp_seconds",
		Help: "Unix time at which the open job due first is due, of those that this entry owns; 0: none is open.",
	}, func() float64 { return s.openWork().due() })
	reg.MustRegister(m.completed, m.assigned, open, due)
	return m
}

// openWork sums up the open jobs of this entry.
type openWork struct {
	items    int       // without a completion
	earliest time.Time // zero: no job is open
}

// due returns the earliest due time in Unix seconds, or 0 if no job is open.
func (w openWork) due() float64 {
	if w.earliest.IsZero() {
		return 0
	}
	return float64(w.earliest.UnixMilli()) / 1000
}

// openWork returns the open work of the partitions that this entry owns.
func (s *Service) openWork() openWork {
	var w openWork
	for _, p := range s.ownedPartitions() {
		p.mu.Lock()
		for _, j := range p.scheduler.openJobs() {
			w.items += len(j.items) - j.done
			if w.earliest.IsZero() || j.Due.Before(w.earliest) {
				w.earliest = j.Due
			}
		}
		p.mu.Unlock()
	}
	return w
}

// countCompleted counts a replayed completion if this entry owns the partition
// and has replayed it to the end. The caller holds the lock.
func (p *partition) countCompleted(j *job, failed bool) {
	if p.owned && p.ready {
		p.service.metrics.completed.WithLabelValues(j.Customer, strconv.FormatBool(failed)).Inc()
	}
}
