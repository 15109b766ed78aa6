package ingress

import (
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
)

// Process bounds the listeners of a process by what its machine grants it.
type Process struct {
	machine Machine
	log     zerolog.Logger
	metrics *metrics
}

// NewProcess returns a Process whose metrics are registered with r.
func NewProcess(m Machine, log zerolog.Logger, r prometheus.Registerer) *Process {
	return &Process{machine: m, log: log, metrics: newMetrics(r)}
}

// Callers bounds the listener for callers. writeError writes the response to a request that is
// refused, in the format of the service; it must set a Content-Type. headBytes returns the
// maximum size of the head of a request in bytes, at most MaxHeadBytes.
func (p *Process) Callers(l net.Listener, writeError func(http.ResponseWriter, *api.Error), headBytes func() int64) net.Listener {
	bounded := p.bound("callers", l, p.machine.Callers())
	bounded.guard.refusal = rawResponse(func(w http.ResponseWriter) { writeError(w, errorOverloaded()) })
	bounded.guard.headBytes = headBytes
	return bounded
}

// Peers bounds the listener for calls of other instances.
func (p *Process) Peers(l net.Listener) net.Listener { return p.bound("peers", l, p.machine.Peers()) }

// Operators bounds a listener for operators, probes or collectors of metrics. name is the
// value of the label listener in its metrics.
func (p *Process) Operators(name string, l net.Listener) net.Listener {
	bounded := p.bound(name, l, p.machine.Operators())
	bounded.guard.headBytes = AnyHead
	return bounded
}

func (p *Process) bound(name string, l net.Listener, limits Limits) *Listener {
	return &Listener{Listener: l, guard: newGuard(name, limits, p.log, p.metrics)}
}
