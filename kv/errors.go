package kv

import (
	"context"

	"github.com/pkg/errors"
)

// callError is one of the errors of the store together with its cause.
type callError struct {
	class error
	cause error
}

func (e *callError) Error() string { return e.class.Error() + ": " + e.cause.Error() }

// Unwrap makes errors.Is match both.
func (e *callError) Unwrap() []error { return []error{e.class, e.cause} }

// WithCause returns class, one of the errors of the store, with its cause;
// errors.Is matches both. If cause is nil, it returns class itself.
func WithCause(class, cause error) error {
	if cause == nil {
		return class
	}
	return &callError{class: class, cause: cause}
}

// codes maps the errors of the store to the names used on the wire and in metrics.
var codes = []struct {
	err  error
	code string
}{
	{ErrConflict, "conflict"},
	{ErrUnavailable, "unavailable"},
	{ErrUnknown, "unknown"},
	{ErrUnreadable, "unreadable"},
	{ErrNotFound, "not_found"},
	{ErrLeaseLost, "lease_lost"},
	{ErrOverBudget, "over_budget"},
	{ErrCompacted, "compacted"},
	{ErrTooLarge, "too_large"},
	{ErrInvalid, "invalid"},
}

// CodeOK is the code of a call that succeeded.
const CodeOK = "ok"

// codeCancelled is the code of a call whose context ended.
const codeCancelled = "cancelled"

// Code returns the machine-readable name of the error's class: CodeOK for nil,
// "cancelled" for a context that ended, "other" for an error that is not the store's.
func Code(err error) string {
	if err == nil {
		return CodeOK
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return codeCancelled
	}
	return "other"
}

// ErrorForCode returns the error of the store that has the code, or nil.
func ErrorForCode(code string) error {
	for _, c := range codes {
		if c.code == code {
			return c.err
		}
	}
	return nil
}
