package ingress

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Process bounds the listeners of a process by what its machine grants it.
type Process struct {
	machine Machine
	log     zerolog.Logger
	metrics *Metrics
}

// NewProcess returns a Process whose metrics are registered with r.
func NewProcess(m Machine, log zerolog.Logger, r prometheus.Registerer) *Process {
	return &Process{machine: m, log: log, metrics: NewMetrics(r)}
}

// Callers bounds the listener for callers.
func (p *Process) Callers(l net.Listener) net.Listener {
	return p.bound("callers", l, p.machine.Callers())
}

// Peers bounds the listener for calls of other instances.
func (p *Process) Peers(l net.Listener) net.Listener {
	return p.bound("peers", l, p.machine.Peers())
}

// Operators bounds a listener for operators, probes or collectors of metrics. name is the
// value of the label listener in its metrics.
func (p *Process) Operators(name string, l net.Listener) net.Listener {
	return p.bound(name, l, p.machine.Operators())
}

func (p *Process) bound(name string, l net.Listener, limits Limits) net.Listener {
	return NewListener(l, NewGuard(name, limits, p.log, p.metrics))
}
