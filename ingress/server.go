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
		c := connOf(raw)
		if c == nil {
			return ctx
		}
		c.secure = net.Conn(c) != raw
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c := connOf(raw)
		if c == nil || state != http.StateIdle {
			return
		}
		// A connection that was refused is not: nothing may follow the response that it got.
		if c.guard.enter(c, phaseIdle) {
			c.inHead.Store(true)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connFrom(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.guard.enter(c, phaseServing) {
			c.respond(ReasonMemory)
			panic(http.ErrAbortHandler)
		}
		c.inHead.Store(false)
		next.ServeHTTP(w, r)
	})
}

// MessageReceived tells the guard of c, if it has one, that a message was received whole and
// decoded, and that the next one is awaited. Its memory no longer counts.
func MessageReceived(c net.Conn) {
	if guarded := connOf(c); guarded != nil {
		guarded.guard.enter(guarded, phaseIdle)
	}
}
