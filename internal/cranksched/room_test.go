package cranksched

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"

	"github.com/matryer/is"
)

// "no capacity" did not tell a gang that needs one rack from one that needs more workers.
func TestStandingJobNamesWhatItLacks(t *testing.T) {
	for _, v := range []struct {
		tasks    int
		sameRack bool
		want     standingReason
	}{
		{5, true, standsCapacity},
		{4, true, standsRack},
		{4, false, standsReserved},
		{2, true, standsReserved},
	} {
		t.Run(fmt.Sprint(v.tasks, v.sameRack), func(t *testing.T) {
			is := is.New(t)
			s := newScheduler()
			for i := range 4 {
				e := crank.WorkerEntry{ID: fmt.Sprintf("w%d", i), Pool: "desk", Rack: fmt.Sprintf("r%d", i/2), Capacity: crank.Demand{Accelerators: 8}}
				w := &worker{entry: e, incarnation: crankfleet.Incarnation(e), answered: true}
				s.workers[e.ID], s.roster.numbered[w.incarnation] = w, true
			}
			j := s.benchJob("job", v.tasks, crank.Demand{Accelerators: 8})
			j.spec.Steps[0].Gang, j.spec.Steps[0].SameRack = true, v.sameRack
			r := newRoomFinder(s, time.Now()).find(j.open[0].tasks[0])
			is.Equal(r.reason(), v.want)
		})
	}
}

func TestWorkerWithoutNewTasksIsCountedByReason(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	now := time.Now()
	for i, change := range []func(w *worker){
		func(*worker) {},
		func(w *worker) { w.failedRenewals = 1 },
		func(w *worker) { w.entry.Draining, w.ending = true, true },
		func(w *worker) { w.ending = true },
		func(w *worker) { delete(s.roster.numbered, w.incarnation) },
		func(w *worker) { w.unlistedSince = now.Add(-unlistedGrace) },
		func(w *worker) { w.quarantinedUntil = now.Add(time.Second) },
	} {
		e := crank.WorkerEntry{ID: fmt.Sprintf("w%d", i)}
		w := &worker{entry: e, incarnation: crankfleet.Incarnation(e), answered: true}
		s.workers[e.ID], s.roster.numbered[w.incarnation] = w, true
		change(w)
	}
	is.Equal(s.countUnschedulable(now), map[string]int{
		unschedulableSilent: 1, unschedulableDraining: 1, unschedulableEnding: 1, unschedulableNotStored: 1, unschedulableUnlisted: 1, unschedulableQuarantined: 1,
	})
}
