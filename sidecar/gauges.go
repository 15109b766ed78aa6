package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
	"dandelionrelay/order"
)

// slotUse is what a slot is used for.
type slotUse int

const (
	useOnline slotUse = iota
	useBatch
	useIdle
	slotUses
)

var slotUseNames = [slotUses]string{useOnline: "online", useBatch: "batch", useIdle: "idle"}

// usage accumulates the slot time by use.
type usage struct {
	updatedAt time.Time
	current   [slotUses]int // slots by use, since updatedAt
	elapsed   [slotUses]time.Duration
}

// record adds the time since the last call and sets the use of the slots from
// now on.
func (u *usage) record(now time.Time, slots, online, batch int) {
	if !u.updatedAt.IsZero() {
		for use, n := range u.current {
			u.elapsed[use] += time.Duration(n) * now.Sub(u.updatedAt)
		}
	}
	u.updatedAt = now
	u.current = [slotUses]int{useOnline: online, useBatch: batch, useIdle: max(0, slots-online-batch)}
}

// slotTime returns the time that slots were used for use, summed over the slots.
func (s *scheduler) slotTime(use slotUse) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordUsage(time.Now())
	return s.usage.elapsed[use]
}

// recordUsage records the current use of the slots. The caller holds the lock.
func (s *scheduler) recordUsage(now time.Time) {
	s.usage.record(now, s.slots, s.queue.Running(), s.queue.RunningItems())
}

// read calls f with the lock held and returns its value.
func (s *scheduler) read(f func() int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(f())
}

// registerGauges registers the metrics whose values are read from the sidecar
// when they are collected.
func (s *Sidecar) registerGauges(reg prometheus.Registerer) {
	if reg == nil {
		return
	}
	gauge := func(name, help, lane string, value func() float64) {
		o := prometheus.GaugeOpts{Namespace: "relay", Subsystem: "sidecar", Name: name, Help: help}
		if lane != "" {
			o.ConstLabels = prometheus.Labels{"lane": lane}
		}
		reg.MustRegister(prometheus.NewGaugeFunc(o, value))
	}
	q := s.scheduler
	const waiting, running = "Requests and items that wait for a slot, by lane.", "Requests and items at the endpoint, by lane."
	online, batch := string(api.Online), string(api.Batch)
	gauge("waiting", waiting, online, func() float64 { return q.read(q.queue.Waiting) })
	gauge("waiting", waiting, batch, func() float64 { return q.read(q.queue.WaitingItems) })
	gauge("running", running, online, func() float64 { return q.read(q.queue.Running) })
	gauge("running", running, batch, func() float64 { return q.read(q.queue.RunningItems) })
	gauge("slots", "Requests that the endpoint may run at once.", "", func() float64 {
		return q.read(func() int { return q.slots })
	})
	gauge("batch_slots", "Slots that batch items may take now, those that they hold included.", "", func() float64 {
		return q.read(q.queue.BatchSlots)
	})
	gauge("results_held_bytes", "Results of batch items that no owner has accepted yet.", "", func() float64 {
		return float64(s.batch.outbox.heldBytes())
	})
	gauge("leaving", "1 if the endpoint is leaving, else 0.", "", func() float64 {
		if s.Draining() {
			return 1
		}
		return 0
	})
	gauge("cold", "1 if the endpoint is cold, so that starts are limited, else 0.", "", func() float64 {
		if q.isCold(time.Now()) {
			return 1
		}
		return 0
	})
	for use, name := range slotUseNames {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "relay", Subsystem: "sidecar", Name: "slot_seconds_total",
			Help:        "Time that slots were used, summed over the slots, by use.",
			ConstLabels: prometheus.Labels{"use": name},
		}, func() float64 { return q.slotTime(slotUse(use)).Seconds() }))
	}
}

// heldBytes returns the estimated size of the results held.
func (o *outbox) heldBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes
}

// countedEngine is an order.Engine that counts the orders by result.
type countedEngine struct {
	order.Engine
	orders *prometheus.CounterVec
}

// Order implements order.Engine.
func (e countedEngine) Order(ctx context.Context, o order.Order) error {
	err := e.Engine.Order(ctx, o)
	result := orderSent
	switch {
	case errorx.IsOfType(err, order.Refused):
		result = orderRefused
	case err != nil:
		result = orderFailed
	}
	e.orders.WithLabelValues(result).Inc()
	return err
}
