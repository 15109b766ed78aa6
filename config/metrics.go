package config

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers the metrics of f with reg.
func (f *Follower) RegisterMetrics(reg prometheus.Registerer) {
	gauge := func(name, help string, value func(Status) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(f.Status(time.Now())) },
		))
	}
	gauge("relay_config_version", "Version of the configuration in force here.",
		func(s Status) float64 { return float64(s.Version) })
	gauge("relay_config_age_seconds", "Time since the configuration was known to be the log's; -1 if never.",
		func(s Status) float64 {
			if s.Age < 0 {
				return -1
			}
			return time.Duration(s.Age).Seconds()
		})
	gauge("relay_config_known", "1 if this process has a configuration to judge changes by, else 0.",
		func(s Status) float64 {
			if s.Known {
				return 1
			}
			return 0
		})
}

// RegisterMetrics registers the metrics of v with reg.
func (v *Viewer) RegisterMetrics(reg prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("relay_config_version", "Version of the configuration in force here.",
		func() float64 { return float64(v.holder.Current().Version) })
	gauge("relay_config_contact_age_seconds", "Time since an entry last told this sidecar of its configuration; -1 if never.",
		func() float64 {
			lastReply := v.lastReply.Load()
			if lastReply == 0 {
				return -1
			}
			return time.Since(time.Unix(0, lastReply)).Seconds()
		})
}
