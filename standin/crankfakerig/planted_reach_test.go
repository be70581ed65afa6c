package crankfakerig

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakesite"
)

const longRunHall = "long-run-hall"

// cutOffs returns the cut-offs of living workers in the seed's plan, in one way, or those of
// the first later seed that has some.
func cutOffs(s crankfakesite.Site, seed uint64, way string) (p crankfakeplan.Plan) {
	for ; len(p) == 0; seed++ {
		for _, d := range crankfakeplan.Draw(Scope(s), seed) {
			if d.Kind == crankfakeplan.CutOff && d.How == crankfakeplan.BackAlive && d.For > s.Bounds.Heartbeat {
				d.Way, d.From = way, nil
				p = append(p, d)
			}
		}
	}
	return p
}

// impostor answers for a worker as a later incarnation without runs.
type impostor struct{ entry crank.WorkerEntry }

const rebornAfter = time.Second

// LeasedWorker implements crank.LeaseDialer.
func (i impostor) LeasedWorker(crank.WorkerEntry) crank.LeasedWorker { return i }

func (i impostor) Start(context.Context, crank.RunOrder) (crank.OrderReply, error) {
	return crank.OrderReply{Refusal: crank.RefusalNoCapacity}, nil
}

func (i impostor) Stop(context.Context, crank.StopOrder) (crank.OrderReply, error) {
	return crank.OrderReply{}, nil
}

func (i impostor) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	_ = sleep(ctx, o.Wait)
	born := i.entry.StartTimeMs + rebornAfter.Milliseconds()
	return crank.RenewReport{ClockMs: time.Now().UnixMilli() - born, StartTimeMs: born}, nil
}

// hider does not show runs whose start was not answered.
type hider struct {
	crank.LeasedWorker
	id     string
	isAway func(id string) bool
	hidden *sync.Map // by worker ID and task
}

func (w hider) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	if w.isAway(w.id) {
		w.hidden.Store(w.id+" "+o.Task.String(), true)
	}
	return w.LeasedWorker.Start(ctx, o)
}

func (w hider) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	r, err := w.LeasedWorker.Renew(ctx, o)
	var shown []crank.ActiveRun
	for _, a := range r.Active {
		if _, ok := w.hidden.Load(w.id + " " + a.Task.String()); !ok {
			shown = append(shown, a)
		}
	}
	r.Active = shown
	return r, err
}

// straggler lets starts that come while it is out of reach take effect after their time.
type straggler struct {
	crank.LeasedWorker
	id     string
	isAway func(id string) bool
}

const straggleTime = 4 * time.Second

func (w straggler) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	if !w.isAway(w.id) {
		return w.LeasedWorker.Start(ctx, o)
	}
	o.DeadlineMs += 2 * straggleTime.Milliseconds()
	time.AfterFunc(straggleTime, func() { _, _ = w.LeasedWorker.Start(context.Background(), o) })
	<-ctx.Done()
	return crank.OrderReply{}, ctx.Err()
}

// amnesiac no longer shows the runs that it has when it was not called for a while.
type amnesiac struct {
	crank.LeasedWorker
	id     string
	called *sync.Map // time.Time of the last call by worker ID
	hidden *sync.Map // by worker ID and task
}

const amnesiaTime = time.Second

func (w amnesiac) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	last, ok := w.called.Swap(w.id, time.Now())
	forgets := ok && time.Since(last.(time.Time)) > amnesiaTime
	r, err := w.LeasedWorker.Renew(ctx, o)
	w.called.Store(w.id, time.Now())
	var shown []crank.ActiveRun
	for _, a := range r.Active {
		key := w.id + " " + a.Task.String()
		if forgets {
			w.hidden.Store(key, true)
		}
		if _, ok := w.hidden.Load(key); !ok {
			shown = append(shown, a)
		}
	}
	r.Active = shown
	return r, err
}

// isAway reports whether a worker doesn't take tasks.
func (r *Rig) isAway(id string) bool {
	for _, m := range r.machines {
		if e, serves := m.Current(); e.ID == id {
			return !serves
		}
	}
	return true
}

// reachPlants are faults that only workers out of reach show.
func reachPlants() map[string]plant {
	const twoRuns = "has two active runs"
	impostors := func(r *Rig) {
		r.plants.Impostor = func(e crank.WorkerEntry) http.Handler {
			return crankfakeplatform.WorkerHandler{Entry: e, Dial: impostor{e}}
		}
	}
	return map[string]plant{
		"address answers as a later incarnation": {site: longRunHall, way: crankfakeplan.WayTaken, violation: twoRuns, apply: impostors},
		"worker moves under a later start time": {site: longRunHall, way: crankfakeplan.WayMoved, violation: twoRuns, apply: func(r *Rig) {
			r.plants.Alter = func(e crank.WorkerEntry) crank.WorkerEntry {
				e.StartTimeMs += rebornAfter.Milliseconds()
				return e
			}
		}},
		"start without an answer is hidden": {site: longRunHall, way: crankfakeplan.WayOneWay, violation: twoRuns, apply: func(r *Rig) {
			hidden := &sync.Map{}
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker {
				return hider{w, e.ID, r.isAway, hidden}
			}}
		}},
		"queued start takes effect late": {site: longRunHall, way: crankfakeplan.WayBusy, violation: twoRuns, apply: func(r *Rig) {
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker {
				return straggler{w, e.ID, r.isAway}
			}}
		}},
		"runs are not shown after resets": {site: longRunHall, way: crankfakeplan.WayReset, violation: twoRuns, apply: func(r *Rig) {
			called, hidden := &sync.Map{}, &sync.Map{}
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker {
				return amnesiac{w, e.ID, called, hidden}
			}}
		}},
	}
}

func TestCutOffsAreOfTheWay(t *testing.T) {
	is := is.New(t)
	site, err := crankfakesite.Read("../../examples/sites/" + longRunHall + ".ini")
	is.NoErr(err)
	for seed := range uint64(20) {
		p := cutOffs(site, seed, crankfakeplan.WayMoved)
		is.True(len(p) > 0)
		for _, d := range p {
			is.Equal(d.Way, crankfakeplan.WayMoved)
			is.Equal(d.How, crankfakeplan.BackAlive)
		}
	}
}
