package crankentry

import (
	"context"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// meter counts and times calls by their name and result.
type meter struct {
	scope tally.Scope
	name  string // of the metric
}

func (m meter) note(call string, begun time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(crank.KindOf(err))
	}
	m.scope.Tagged(map[string]string{"call": call, "result": result}).Timer(m.name).Record(time.Since(begun))
}

// meteredStore times the calls to a store.
type meteredStore struct {
	crank.Store
	meter
}

// Append implements crank.Store.
func (s meteredStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	begun := time.Now()
	end, err := s.Store.Append(ctx, a)
	s.note("append", begun, err)
	return end, err
}

// Read implements crank.Store.
func (s meteredStore) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	begun := time.Now()
	b, err := s.Store.Read(ctx, topic, from, wait)
	s.note("read", begun, err)
	return b, err
}

// Newest implements crank.Store.
func (s meteredStore) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	begun := time.Now()
	b, err := s.Store.Newest(ctx, topic)
	s.note("newest", begun, err)
	return b, err
}

// meteredDialer times the calls to workers.
type meteredDialer struct {
	crank.LeaseDialer
	meter
}

// LeasedWorker implements crank.LeaseDialer.
func (d meteredDialer) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return meteredWorker{d.LeaseDialer.LeasedWorker(e), d.meter}
}

type meteredWorker struct {
	crank.LeasedWorker
	meter
}

// Start implements crank.LeasedWorker.
func (w meteredWorker) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Start(ctx, o)
	w.note("start", begun, err)
	return r, err
}

// Stop implements crank.LeasedWorker.
func (w meteredWorker) Stop(ctx context.Context, o crank.StopOrder) (crank.OrderReply, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Stop(ctx, o)
	w.note("stop", begun, err)
	return r, err
}

// Hold implements crank.LeasedWorker.
func (w meteredWorker) Hold(ctx context.Context, o crank.HoldOrder) (crank.HoldReport, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Hold(ctx, o)
	w.note("hold", begun, err)
	return r, err
}
