package crank

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Kind classifies an Error by what its receiver can do about it.
type Kind string

// Kinds of errors.
const (
	KindInvalid     Kind = "invalid"     // the input is wrong, a retry does not help
	KindNotFound    Kind = "not-found"   // the named thing does not exist
	KindConflict    Kind = "conflict"    // another change came first
	KindRefused     Kind = "refused"     // certainly not done
	KindUnknown     Kind = "unknown"     // may have been done
	KindUnavailable Kind = "unavailable" // certainly not done, a later retry may help
	KindExpired     Kind = "expired"     // the records asked for are no longer kept
	KindLimited     Kind = "limited"     // a limit or quota is reached
	KindDenied      Kind = "denied"      // the caller may not do this
	KindFenced      Kind = "fenced"      // a newer holder has taken over
)

// Errors is the namespace of the causes that this project creates.
var Errors = errorx.NewNamespace("crank")

var causeType = Errors.NewType("cause")

// Error is a failed operation: Op names it, as in "log append", Kind
// classifies it, and Cause says why.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

// Fail returns an Error whose cause is the formatted message.
func Fail(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Cause: causeType.New(format, args...)}
}

// Wrap returns an Error around cause, or nil when cause is nil. A cause that
// is an Error already keeps its kind.
func Wrap(op string, kind Kind, cause error) error {
	if cause == nil {
		return nil
	}
	var inner *Error
	if errors.As(cause, &inner) {
		kind = inner.Kind
	}
	return &Error{Op: op, Kind: kind, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Message()) }

// Message returns the cause without the operation and without its type.
func (e *Error) Message() string {
	var x *errorx.Error
	if errors.As(e.Cause, &x) {
		return x.Message()
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or KindUnknown when err is no Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
