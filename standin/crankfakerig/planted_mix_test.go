package crankfakerig

import (
	"context"
	"slices"
	"strings"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

// bindToRacks submits steps with the rack that a function names, if any, as a required
// label.
func bindToRacks(r *Rig, rackOf func(job string, s crank.Step) string) {
	r.encode = func(j crank.StepJob) []byte {
		j.Steps = slices.Clone(j.Steps)
		for n, s := range j.Steps {
			if rack := rackOf(j.ID, s); rack != "" {
				j.Steps[n].Label = rack
			}
		}
		return crankfakeplatform.EncodeJob(j)
	}
}

// keeper goes on to show some runs that have ended as running.
type keeper struct {
	crank.LeasedWorker
	kept *sync.Map // crank.ActiveRun by worker ID and task
	id   string
}

func (w keeper) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	r, err := w.LeasedWorker.Renew(ctx, o)
	if err != nil {
		return r, err
	}
	var listed []crank.EndedRun
	for _, e := range r.Ended {
		if e.Kind != crank.EndDone {
			w.kept.Store(w.id+" "+e.Task.String(), crank.ActiveRun{Task: e.Task, Run: e.Run})
			continue
		}
		listed = append(listed, e)
	}
	r.Ended = listed
	w.kept.Range(func(k, v any) bool {
		if strings.HasPrefix(k.(string), w.id+" ") {
			r.Active = append(r.Active, v.(crank.ActiveRun))
		}
		return true
	})
	return r, nil
}

// loner drops some starts of gang members while it acknowledges them.
type loner struct {
	crank.LeasedWorker
	spec func(job string) (crank.StepJob, bool)
}

func (w loner) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	spec, ok := w.spec(o.Task.Job)
	if ok && spec.Steps[o.Task.Step].Gang && hash(o.Task, o.Run, 0) < 0.05 {
		report, err := w.Renew(ctx, crank.RenewOrder{Fence: o.Fence, DeadlineMs: o.DeadlineMs})
		return crank.OrderReply{ClockMs: report.ClockMs}, err
	}
	return w.LeasedWorker.Start(ctx, o)
}

// mixedPlants are faults that only jobs of all kinds show.
func mixedPlants() map[string]plant {
	return map[string]plant{
		"gang never leaves its rack": {site: mixedHall, isLost: isOf(isSameRack), change: wideGangs, apply: func(r *Rig) {
			bindToRacks(r, func(job string, s crank.Step) string {
				if !isSameRack(s) {
					return ""
				}
				n := int(hash(crank.TaskID{Job: job}, 0, 0) * float64(len(r.machines)))
				return r.machines[n].Entry.Rack
			})
		}},
		"data rack is required": {site: mixedHall, isLost: isOf(hasDataRack), change: func(s *crankfakesite.Site) {
			wideGangs(s)
			for n := range s.Classes {
				s.Classes[n].DataRack = 0.5
			}
		}, apply: func(r *Rig) {
			bindToRacks(r, func(_ string, s crank.Step) string { return s.DataRack })
		}},
		"capacity is not given back": {site: mixedHall, isLost: isOf(func(crank.Step) bool { return true }), apply: func(r *Rig) {
			kept := &sync.Map{}
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker { return keeper{w, kept, e.ID} }}
		}},
		"gang half ordered": {site: mixedHall, violation: "waited for its gang in vain", apply: func(r *Rig) {
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, _ crank.WorkerEntry) crank.LeasedWorker { return loner{w, r.watch.Spec} }}
		}},
	}
}

const mixedHall = "mixed-hall"

// wideGangs lets gangs be larger than a rack at times.
func wideGangs(s *crankfakesite.Site) {
	for n := range s.Classes {
		if c := &s.Classes[n]; c.Gang > 0 {
			c.Tasks, c.Accelerators = 5, []int{8}
		}
	}
}

func isSameRack(s crank.Step) bool { return s.Gang && s.SameRack }

func hasDataRack(s crank.Step) bool { return s.DataRack != "" }

// isOf returns whether the step that stood still is one of a kind.
func isOf(kind func(s crank.Step) bool) func(r *Rig, s crankfakewatch.Still) bool {
	return func(r *Rig, s crankfakewatch.Still) bool {
		spec, ok := r.watch.Spec(s.Job)
		return ok && kind(spec.Steps[s.Task.Step])
	}
}
