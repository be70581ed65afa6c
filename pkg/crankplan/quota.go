package crankplan

import crank "cranberrycrank"

// quotas tracks the accelerators that each workspace uses, and its quota.
type quotas struct {
	limit map[string]int // 0 for no limit
	used  map[string]int
}

func newQuotas(r crank.Round) quotas {
	q := quotas{limit: make(map[string]int, len(r.Workspaces)), used: make(map[string]int, len(r.Workspaces))}
	for _, w := range r.Workspaces {
		q.limit[w.Name] = w.Quota
	}
	for _, a := range r.Active {
		q.used[a.Workspace] += a.Shape.Total().Accelerators
	}
	return q
}

// allows reports whether the quota admits a job now.
func (q quotas) allows(j crank.RoundJob) bool {
	limit := q.limit[j.Workspace]
	return limit == 0 || q.used[j.Workspace]+j.Shape.Total().Accelerators <= limit
}

// add counts a placed job.
func (q quotas) add(j crank.RoundJob) { q.used[j.Workspace] += j.Shape.Total().Accelerators }

// tooLarge reports whether a job alone exceeds its workspace's quota.
func (q quotas) tooLarge(j crank.RoundJob) bool {
	limit := q.limit[j.Workspace]
	return limit > 0 && j.Shape.Total().Accelerators > limit
}

// fitsIdleFleet reports whether a gang fits on an idle fleet with all workers in
// service.
func fitsIdleFleet(f *fleet, shape crank.Shape) bool {
	s := search{fleet: f, view: viewCapacity, shape: shape}
	return s.findFirst() != nil
}

// refusalReason returns why a job can never run, not even on an idle fleet with all
// workers in service, or "" if it can.
func refusalReason(f *fleet, q quotas, j crank.RoundJob) string {
	if q.tooLarge(j) {
		return reasonOverQuota
	}
	if !fitsIdleFleet(f, j.Shape) {
		return reasonNeverFits
	}
	return ""
}
