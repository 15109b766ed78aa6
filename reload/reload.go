// Package reload keeps the settings of a running process up to date with their file. A
// file that has changed is read again at SIGHUP and, without a signal, by polling.
package reload

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// pollInterval is the interval at which the file is checked for changes. The platform's
// instances have no file notifications.
const pollInterval = 2 * time.Second

// Options are the options of a Reloader.
type Options[T any] struct {
	Path  string
	Load  func(path string) (*T, error) // reads and validates the file
	Apply func(settings *T)             // puts settings into force; must not block
	Log   zerolog.Logger
	// Metrics receives the metrics of the Reloader.
	Metrics prometheus.Registerer
}

// Reloader puts changes of a settings file into force. A field of T may change in the
// running process if its struct tag is `reload:"true"`; other fields keep the value
// with which the process started. An invalid file changes nothing.
type Reloader[T any] struct {
	Options[T]
	inForce  *T
	sum      uint64            // of the content read last; 0: none was read
	readErr  string            // error of the last read; empty: it succeeded
	reported map[string]string // by field that can't change: the value that was logged last
	metrics  *metrics
}

// New returns a Reloader of a process that has started with the given settings.
func New[T any](inForce *T, o Options[T]) *Reloader[T] {
	r := &Reloader[T]{Options: o, inForce: inForce, reported: make(map[string]string), metrics: newMetrics(o.Metrics)}
	r.metrics.inForce(checksum(inForce))
	return r
}

// Hangups returns a channel that receives SIGHUP. It is called before anything else
// that takes time at start, as the signal ends a process that does not receive it.
func Hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Run checks the file at each signal and every pollInterval until ctx ends.
func (r *Reloader[T]) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.check(true)
		case <-ticker.C:
			r.check(false)
		}
	}
}

// check reads the file and puts its settings into force if its content has changed.
// With requested set, the outcome is logged even if the content is the same.
func (r *Reloader[T]) check(requested bool) {
	content, err := os.ReadFile(r.Path)
	if err != nil {
		r.readFailed(err, requested)
		return
	}
	r.readErr = ""
	sum := xxhash.Sum64(content)
	if sum == r.sum && !requested {
		return
	}
	r.sum = sum
	loaded, err := r.Load(r.Path)
	if err != nil {
		r.metrics.invalid()
		r.Log.Error().Err(err).Msg("settings file is invalid; the settings in force stay")
		return
	}
	r.put(loaded, requested)
}

// readFailed records that the file can't be read. The error is logged once.
func (r *Reloader[T]) readFailed(err error, requested bool) {
	if err.Error() == r.readErr && !requested {
		return
	}
	r.readErr = err.Error()
	r.sum = 0
	r.metrics.invalid()
	r.Log.Error().Err(err).Msg("settings file can't be read; the settings in force stay")
}

// put puts the reloadable fields of loaded into force and logs the differences.
func (r *Reloader[T]) put(loaded *T, requested bool) {
	next, changes := merge(r.inForce, loaded)
	applied := 0
	for _, c := range changes {
		if c.reloadable {
			applied++
			r.Log.Info().Str("field", c.field).Msg("setting changed")
			continue
		}
		r.reportFixed(c)
	}
	r.forgetReported(changes)
	if applied > 0 {
		r.Apply(next)
		r.inForce = next
		r.metrics.applied(checksum(next))
	} else {
		r.metrics.unchanged()
	}
	if applied > 0 || requested {
		r.Log.Info().Int("changed", applied).Int("at_next_start", len(changes)-applied).Str("version", checksum(r.inForce)).Msg("settings file read")
	}
}

// reportFixed logs, once for each new value, a change that needs a restart.
func (r *Reloader[T]) reportFixed(c change) {
	if value, ok := r.reported[c.field]; ok && value == c.loaded {
		return
	}
	r.reported[c.field] = c.loaded
	r.Log.Warn().Str("field", c.field).Str("in_force", c.inForce).Str("in_file", c.loaded).Msg("setting can't change in a running process; it takes effect at the next start")
}

// forgetReported forgets the reported fields that no longer differ.
func (r *Reloader[T]) forgetReported(changes []change) {
	differs := make(map[string]bool)
	for _, c := range changes {
		differs[c.field] = true
	}
	for field := range r.reported {
		if !differs[field] {
			delete(r.reported, field)
		}
	}
}

// checksum returns a short identifier of settings, equal for equal values.
func checksum(settings any) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text(settings))))
}
