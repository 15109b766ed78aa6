package ingress

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the Conn of a request.
type connKey struct{}

// Attach makes s tell the guards of its connections what these wait for. Connections without a
// guard are served as without Attach.
func Attach(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c := connOf(raw); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		if c := connOf(raw); c != nil && state == http.StateIdle {
			c.inHead.Store(true)
			c.guard.enter(c, phaseIdle)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			c.inHead.Store(false)
			c.guard.enter(c, phaseServing)
		}
		next.ServeHTTP(w, r)
	})
}
