package pipeline

import "context"

type requestIDKey struct{}

// WithRequestID returns a context that carries the request ID, which is sent
// with the RPCs to peers that are made for the request.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the request ID of ctx, or "" if it carries none.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
