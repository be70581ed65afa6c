package cranknode

import (
	"sync"

	crank "cranberrycrank"

	"golang.org/x/time/rate"
)

// maxInFlight bounds the submissions of one workspace that this instance
// appends at once.
const maxInFlight = 256

// admission limits what each workspace may submit through this instance.
type admission struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	inFlight map[string]int
}

func newAdmission() *admission {
	return &admission{limiters: make(map[string]*rate.Limiter), inFlight: make(map[string]int)}
}

// enter admits one submission of a workspace, whose rate is shared by a number
// of instances. The caller calls leave afterwards.
func (a *admission) enter(w crank.Workspace, instances int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.RatePerSecond > 0 && !a.limiter(w, instances).Allow() {
		return crank.Fail("submit", crank.KindLimited, "workspace %s submits more than %g requests a second", w.Name, w.RatePerSecond)
	}
	if a.inFlight[w.Name] >= maxInFlight {
		return crank.Fail("submit", crank.KindLimited, "workspace %s has too many requests under way", w.Name)
	}
	a.inFlight[w.Name]++
	return nil
}

func (a *admission) leave(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight[workspace]--
	if a.inFlight[workspace] == 0 {
		delete(a.inFlight, workspace)
	}
}

func (a *admission) limiter(w crank.Workspace, instances int) *rate.Limiter {
	share := rate.Limit(w.RatePerSecond / float64(max(1, instances)))
	l, ok := a.limiters[w.Name]
	if !ok {
		l = rate.NewLimiter(share, burst(w))
		a.limiters[w.Name] = l
	}
	if l.Limit() != share {
		l.SetLimit(share)
		l.SetBurst(burst(w))
	}
	return l
}

// burst lets an instance pass what a workspace may submit in one second.
func burst(w crank.Workspace) int { return max(1, int(w.RatePerSecond)) }
