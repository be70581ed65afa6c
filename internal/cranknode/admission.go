package cranknode

import (
	"sync"

	crank "cranberrycrank"

	"golang.org/x/time/rate"
)

// maxInFlightPerWorkspace limits a workspace's concurrent submissions through this
// instance.
const maxInFlightPerWorkspace = 256

// admission limits each workspace's submissions through this instance.
type admission struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	inFlight map[string]int
}

func newAdmission() *admission {
	return &admission{limiters: make(map[string]*rate.Limiter), inFlight: make(map[string]int)}
}

// acquire admits one submission of a workspace, whose rate is divided evenly among
// the entry instances. The caller must call release afterwards.
func (a *admission) acquire(w crank.Workspace, instances int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.RatePerSecond > 0 && !a.limiter(w, instances).Allow() {
		return crank.Fail("submit", crank.KindLimited, "workspace %s submits more than %g requests a second", w.Name, w.RatePerSecond)
	}
	if a.inFlight[w.Name] >= maxInFlightPerWorkspace {
		return crank.Fail("submit", crank.KindLimited, "workspace %s has too many requests under way", w.Name)
	}
	a.inFlight[w.Name]++
	return nil
}

func (a *admission) release(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight[workspace]--
	if a.inFlight[workspace] == 0 {
		delete(a.inFlight, workspace)
	}
}

// limiter returns the workspace's limiter, adjusted to the current rate and number
// of instances.
func (a *admission) limiter(w crank.Workspace, instances int) *rate.Limiter {
	limit := rate.Limit(w.RatePerSecond / float64(max(1, instances)))
	l, ok := a.limiters[w.Name]
	if !ok {
		l = rate.NewLimiter(limit, burst(w))
		a.limiters[w.Name] = l
	}
	if l.Limit() != limit {
		l.SetLimit(limit)
		l.SetBurst(burst(w))
	}
	return l
}

// burst allows one second of the workspace's full rate through one instance.
func burst(w crank.Workspace) int { return max(1, int(w.RatePerSecond)) }
