package kv

import "context"

// newConnKey is the key of the value of a context that NewConn returns.
type newConnKey struct{}

// NewConn returns a context whose calls each open a connection of their own. An idle connection may have fallen silent, which
// shows only once a call on it has waited in vain; a call that has no time for that uses a new one. Stores that know no
// connections ignore it.
func NewConn(ctx context.Context) context.Context { return context.WithValue(ctx, newConnKey{}, true) }

// WantsNewConn reports whether ctx was returned by NewConn, or is derived from such a one.
func WantsNewConn(ctx context.Context) bool { return ctx.Value(newConnKey{}) != nil }
