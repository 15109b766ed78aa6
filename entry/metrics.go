package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/config"
)

// limitsCollector exports the configured rate limits of customers, so that they
// can be compared with the customers' request rates.
type limitsCollector struct {
	source config.Source
	rate   *prometheus.Desc
	burst  *prometheus.Desc
}

func newLimitsCollector(source config.Source) *limitsCollector {
	label := []string{"customer"}
	return &limitsCollector{
		source: source,
		rate: prometheus.NewDesc("relay_customer_rate_requests_per_second",
			"Requests a second that the customer may send, over the whole fleet.", label, nil),
		burst: prometheus.NewDesc("relay_customer_burst_requests",
			"Requests that the customer may send at once, over the whole fleet.", label, nil),
	}
}

// Describe implements prometheus.Collector.
func (l *limitsCollector) Describe(out chan<- *prometheus.Desc) {
	out <- l.rate
	out <- l.burst
}

// Collect implements prometheus.Collector.
func (l *limitsCollector) Collect(out chan<- prometheus.Metric) {
	for id, c := range l.source.Current().State.Customers {
		out <- prometheus.MustNewConstMetric(l.rate, prometheus.GaugeValue, c.Rate, id)
		out <- prometheus.MustNewConstMetric(l.burst, prometheus.GaugeValue, c.Burst, id)
	}
}
