package crankfakeworker

import (
	"context"

	crank "cranberrycrank"
)

// unreachable is an address without a worker. Its value is the error message of
// every call.
type unreachable string

func (u unreachable) err() error {
	return crank.Fail("worker call", crank.KindUnavailable, "%s", string(u))
}

func (u unreachable) Reserve(context.Context, crank.Reservation) error { return u.err() }
func (u unreachable) Start(context.Context, crank.Start) error         { return u.err() }
func (u unreachable) Fence(context.Context, crank.Command) (crank.PartStatus, error) {
	return crank.PartStatus{}, u.err()
}
func (u unreachable) Stop(context.Context, crank.Command) (crank.PartStatus, error) {
	return crank.PartStatus{}, u.err()
}
func (u unreachable) Renew(context.Context, crank.Renewal) (crank.Report, error) {
	return crank.Report{}, u.err()
}
func (u unreachable) Answer(context.Context, crank.AnswerRequest) ([]byte, error) {
	return nil, u.err()
}
func (u unreachable) Forget(context.Context, []crank.AttemptID) error { return u.err() }
