package contract

import "context"

type callerKey struct{}

// WithCaller returns a copy of the request's context that carries the
// authenticated caller.
func WithCaller(ctx context.Context, c *Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerFrom returns the authenticated caller of the context, or nil.
func CallerFrom(ctx context.Context) *Caller {
	c, _ := ctx.Value(callerKey{}).(*Caller)
	return c
}
