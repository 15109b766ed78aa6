package ingress

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Pauses of a Listener after an error that passes, such as a lack of descriptors.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Listener is a net.Listener whose connections a Guard bounds.
type Listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It does not return errors that pass.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			c := &Conn{Conn: raw, guard: l.guard}
			c.holder.conn = c
			c.inHead.Store(true)
			l.guard.admit(c)
			return c, nil
		}
		if !passes(err) {
			return nil, err
		}
		l.guard.log.Error().Err(err).Str("listener", l.guard.name).Dur("pause_ms", pause).Msg("connection could not be accepted")
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// passes reports whether an error of Accept says nothing of later connections.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
