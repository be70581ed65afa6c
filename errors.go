package crank

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Kind classifies an Error by how the caller can react to it.
type Kind string

// Kinds of errors. What a kind tells of the effect holds for the call that failed, not for
// earlier tries of it.
const (
	KindInvalid     Kind = "invalid"     // the input is wrong, retrying does not help
	KindNotFound    Kind = "not-found"   // the named object does not exist
	KindConflict    Kind = "conflict"    // a concurrent change came first
	KindRefused     Kind = "refused"     // rejected, and certainly not done
	KindUnknown     Kind = "unknown"     // may have been done
	KindUnavailable Kind = "unavailable" // certainly not done, retrying later may help
	KindExpired     Kind = "expired"     // the requested records are no longer retained
	KindLimited     Kind = "limited"     // a limit or quota is reached
	KindTooLarge    Kind = "too-large"   // the input exceeds a size limit, retrying does not help
	KindDenied      Kind = "denied"      // the caller is not authorized
	KindFenced      Kind = "fenced"      // a higher fencing token or epoch was seen
)

// Errors is the errorx namespace of the causes created in this project.
var Errors = errorx.NewNamespace("crank")

var causeType = Errors.NewType("cause")

// Error is a failed operation. Op names it, such as "log append".
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

// Fail returns an Error whose cause is the formatted message.
func Fail(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Cause: causeType.New(format, args...)}
}

// Wrap returns an Error around cause, or nil if cause is nil. If cause wraps an
// Error, its kind replaces the given one.
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

// Message returns the text of the cause, without the errorx type prefix.
func (e *Error) Message() string {
	var x *errorx.Error
	if errors.As(e.Cause, &x) {
		return x.Message()
	}
	return e.Cause.Error()
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// NotSent is the cause of a failed call of which certainly nothing was sent. Its error has the
// kind that it would have without that knowledge.
type NotSent struct{ Cause error }

// Error implements error.
func (e NotSent) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e NotSent) Unwrap() error { return e.Cause }

// Certain returns err with KindUnavailable if nothing of the call was sent, otherwise as it is.
func Certain(op string, err error) error {
	if notSent := (NotSent{}); KindOf(err) != KindUnknown || !errors.As(err, &notSent) {
		return err
	}
	return &Error{Op: op, Kind: KindUnavailable, Cause: err}
}

// KindOf returns the kind of err, or KindUnknown if err does not wrap an Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
