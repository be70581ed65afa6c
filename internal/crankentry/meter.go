package crankentry

import (
	"context"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// meter records the duration of calls.
type meter struct {
	scope tally.Scope
	name  string // of the metric
}

func (m meter) record(call string, begun time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(crank.KindOf(err))
	}
	m.scope.Tagged(map[string]string{"call": call, "result": result}).Timer(m.name).Record(time.Since(begun))
}

type meteredStore struct {
	crank.Store
	meter
}

// Append implements crank.Store.
func (s meteredStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	begun := time.Now()
	end, err := s.Store.Append(ctx, a)
	s.record("append", begun, err)
	return end, err
}

// Read implements crank.Store.
func (s meteredStore) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	begun := time.Now()
	b, err := s.Store.Read(ctx, topic, from, wait)
	s.record("read", begun, err)
	return b, err
}

// Newest implements crank.Store.
func (s meteredStore) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	begun := time.Now()
	b, err := s.Store.Newest(ctx, topic)
	s.record("newest", begun, err)
	return b, err
}

type meteredEnds struct {
	crank.TopicEnds
	meter
}

// End implements crank.TopicEnds.
func (e meteredEnds) End(ctx context.Context, topic crank.Topic, from crank.Offset) (crank.Offset, error) {
	begun := time.Now()
	end, err := e.TopicEnds.End(ctx, topic, from)
	e.record("end", begun, err)
	return end, err
}

// meteredDialer dials workers whose calls are recorded.
type meteredDialer struct {
	crank.LeaseDialer
	meter
}

// LeasedWorker implements crank.LeaseDialer.
func (d meteredDialer) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return meteredWorker{d.LeaseDialer.LeasedWorker(e), d.meter}
}

// SetFleetSize implements crank.FleetSizer.
func (d meteredDialer) SetFleetSize(workers int) {
	if s, ok := d.LeaseDialer.(crank.FleetSizer); ok {
		s.SetFleetSize(workers)
	}
}

type meteredWorker struct {
	crank.LeasedWorker
	meter
}

// Start implements crank.LeasedWorker.
func (w meteredWorker) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Start(ctx, o)
	w.record("start", begun, err)
	return r, err
}

// Stop implements crank.LeasedWorker.
func (w meteredWorker) Stop(ctx context.Context, o crank.StopOrder) (crank.OrderReply, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Stop(ctx, o)
	w.record("stop", begun, err)
	return r, err
}

// Renew implements crank.LeasedWorker.
func (w meteredWorker) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	begun := time.Now()
	r, err := w.LeasedWorker.Renew(ctx, o)
	w.record("hold", begun, err)
	return r, err
}
