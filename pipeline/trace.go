package pipeline

import "context"

type requestIDKey struct{}

// WithRequestID returns a context that carries a request's id to the calls of
// peers made for it.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the request id of ctx; empty if it carries none.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
