// Package daemon is what the long-running processes share: listening on an IP
// address, serving HTTP with timeouts, and shutting down without cutting a
// request.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/peer"
	"dandelionrelay/settings"
)

// Timeouts of every HTTP server of the system.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 64 << 10

// Listen listens on addr, an ip:port.
func Listen(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// Server serves one HTTP handler on one listener.
type Server struct {
	http *http.Server
	done chan error
}

// Serve starts to serve handler on l.
func Serve(l net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s
}

// ServeError yields the error with which serving ended, http.ErrServerClosed after
// Shutdown or Close.
func (s *Server) ServeError() <-chan error { return s.done }

// Shutdown stops listening and waits up to timeout for requests under way; it
// returns false if it had to cut some.
func (s *Server) Shutdown(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err == nil {
		return true
	}
	_ = s.http.Close()
	return false
}

// Close ends all connections at once.
func (s *Server) Close() { _ = s.http.Close() }

// SignalContext returns a context that ends at SIGTERM or SIGINT. A second
// signal ends the process at once.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
}

// Wait blocks until ctx ends or one of the servers fails; only the latter is
// an error.
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

// Logger returns the logger of a process.
func Logger(level, role, id string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("role", role).Str("id", id).Logger()
}

// ListenAll listens on every address or on none.
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

// LoadSecurity returns how peers authenticate each other by t, nil for plain TCP.
func LoadSecurity(t *settings.TLS) (*peer.Security, error) {
	if t == nil {
		return nil, nil
	}
	return peer.LoadSecurity(t.CertFile, t.KeyFile, t.CAFile)
}
