// Package daemon holds what the long-running processes share: listening on an IP
// address, serving HTTP with timeouts, and graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"dandelionrelay/ingress"
	"dandelionrelay/peer"
	"dandelionrelay/settings"
)

// Timeouts of the HTTP servers that Serve starts.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Listen listens on the TCP address addr, an ip:port.
func Listen(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// Server serves one HTTP handler on one listener.
type Server struct {
	http *http.Server
	done chan error
}

// Serve starts serving handler on l in the background.
func Serve(l net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    ingress.MaxHeadBytes,
		},
		done: make(chan error, 1),
	}
	ingress.Attach(s.http)
	go func() { s.done <- s.http.Serve(l) }()
	return s
}

// ServeError returns a channel that receives, once, the error with which serving
// ended. It is http.ErrServerClosed after Shutdown or Close.
func (s *Server) ServeError() <-chan error { return s.done }

// Shutdown stops listening and waits up to timeout for the requests in flight. It
// returns false if it had to abort any.
func (s *Server) Shutdown(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return true
	}
	_ = s.http.Close()
	return false
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() { _ = s.http.Close() }

// SignalContext returns a context that is cancelled at SIGTERM or SIGINT. Calling
// the returned function restores the default handling of the signals, after which
// another signal ends the process immediately.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
}

// Wait blocks until ctx ends or one of the servers stops serving. It returns the
// error of a server that failed, and nil otherwise.
func Wait(ctx context.Context, servers ...*Server) error {
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			select {
			case err := <-s.done:
				failed <- err
			case <-ctx.Done():
			}
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

// Machine returns what the machine grants a process with the settings m.
func Machine(m settings.Machine) ingress.Machine {
	descriptors := m.MaxDescriptors
	if descriptors == 0 {
		descriptors = settings.MinDescriptors
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = int(min(limit.Cur, math.MaxInt32))
		}
	}
	return ingress.Machine{MemoryBytes: int64(m.MemoryMB) * bytesPerMB, Descriptors: max(descriptors, settings.MinDescriptors)}
}

// bytesPerMB is the unit of the settings.
const bytesPerMB = 1_000_000

// LimitMemory makes the runtime collect garbage as often as it takes to keep to the memory that
// the machine grants, of which the program itself and its sockets need a part. The environment
// variable GOMEMLIMIT takes precedence.
func LimitMemory(m settings.Machine) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(m.MemoryMB) * bytesPerMB / 4 * 3)
	}
}

// SetLogLevel sets the level of all loggers of the process, also of those that exist.
// An invalid level means info.
func SetLogLevel(level string) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(parsed)
}

// Logger returns the logger of a process, which writes to stderr at the level of
// SetLogLevel.
func Logger(role, id string) zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Str("role", role).Str("id", id).Logger()
}

// ListenAll listens on all addresses. If one of them fails, it closes the others
// and returns the error.
func ListenAll(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := Listen(addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// LoadSecurity loads the certificates of t for mutual authentication of peers. It
// returns nil, which means plain TCP, if t is nil.
func LoadSecurity(t *settings.TLS) (*peer.Security, error) {
	if t == nil {
		return nil, nil
	}
	return peer.LoadSecurity(t.CertFile, t.KeyFile, t.CAFile)
}
