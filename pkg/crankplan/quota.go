package crankplan

import crank "cranberrycrank"

// quotas compares the accelerators in use with the workspaces' quotas.
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

func (q quotas) add(j crank.RoundJob) { q.used[j.Workspace] += j.Shape.Total().Accelerators }

// tooLarge reports whether a job alone exceeds its workspace's quota.
func (q quotas) tooLarge(j crank.RoundJob) bool {
	limit := q.limit[j.Workspace]
	return limit > 0 && j.Shape.Total().Accelerators > limit
}

// fitsIdleFleet reports whether a gang fits on an idle fleet in full service.
func fitsIdleFleet(f *fleet, shape crank.Shape) bool {
	s := search{fleet: f, view: viewCapacity, shape: shape}
	return s.findFirst() != nil
}

// refusalReason returns why a job can't run even on an idle fleet in full service, or
// "".
func refusalReason(f *fleet, q quotas, j crank.RoundJob) string {
	if q.tooLarge(j) {
		return reasonOverQuota
	}
	if !fitsIdleFleet(f, j.Shape) {
		return reasonNeverFits
	}
	return ""
}
