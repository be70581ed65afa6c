package crankfakeworker

import (
	"context"

	crank "cranberrycrank"
)

// absent is the interface to an address where no worker listens.
type absent string

func (a absent) err() error {
	return crank.Fail("worker call", crank.KindUnavailable, "%s", string(a))
}

func (a absent) Reserve(context.Context, crank.Reservation) error { return a.err() }
func (a absent) Start(context.Context, crank.Start) error         { return a.err() }
func (a absent) Fence(context.Context, crank.Command) (crank.PartStatus, error) {
	return crank.PartStatus{}, a.err()
}
func (a absent) Stop(context.Context, crank.Command) (crank.PartStatus, error) {
	return crank.PartStatus{}, a.err()
}
func (a absent) Renew(context.Context, crank.Renewal) (crank.Report, error) {
	return crank.Report{}, a.err()
}
func (a absent) Answer(context.Context, crank.AttemptID) ([]byte, error) { return nil, a.err() }
func (a absent) Forget(context.Context, []crank.AttemptID) error         { return a.err() }
