package reload

import "github.com/prometheus/client_golang/prometheus"

// Values of the label outcome.
const (
	outcomeApplied   = "applied"
	outcomeUnchanged = "unchanged"
	outcomeInvalid   = "invalid"
)

type metrics struct {
	reads   *prometheus.CounterVec
	version *prometheus.GaugeVec
	since   prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_settings_reads_total",
			Help: "Reads of the settings file after its content has changed or at SIGHUP, by outcome.",
		}, []string{"outcome"}),
		version: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relay_settings_info",
			Help: "1 for the version of the settings in force, a checksum of their values.",
		}, []string{"version"}),
		since: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "relay_settings_in_force_since_seconds",
			Help: "Unix time from which the settings have been in force.",
		}),
	}
	reg.MustRegister(m.reads, m.version, m.since)
	for _, outcome := range []string{outcomeApplied, outcomeUnchanged, outcomeInvalid} {
		m.reads.WithLabelValues(outcome)
	}
	return m
}

// inForce records that the given version is in force from now on.
func (m *metrics) inForce(version string) {
	m.version.Reset()
	m.version.WithLabelValues(version).Set(1)
	m.since.SetToCurrentTime()
}

func (m *metrics) applied(version string) {
	m.reads.WithLabelValues(outcomeApplied).Inc()
	m.inForce(version)
}

func (m *metrics) unchanged() { m.reads.WithLabelValues(outcomeUnchanged).Inc() }

func (m *metrics) invalid() { m.reads.WithLabelValues(outcomeInvalid).Inc() }
