package crankterm

import (
	"sync"

	crank "cranberrycrank"
)

// publisher shares the result of the last round with the rest of the instance.
type publisher struct {
	mu     sync.Mutex
	waits  []crank.Wait
	atRisk []string
}

func (p *publisher) set(d crank.Decisions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits = d.Waits
	p.atRisk = d.AtRisk
}

// WaitReason returns why a job waits, as the last round of this instance saw
// it, or "" when it did not look at the job.
func (p *Planner) WaitReason(job string) string {
	p.published.mu.Lock()
	defer p.published.mu.Unlock()
	for _, w := range p.published.waits {
		if w.Job == job {
			return w.Reason
		}
	}
	return ""
}

// AtRisk returns the cells that can't be claimed, as the last round of this
// instance saw it.
func (p *Planner) AtRisk() []string {
	p.published.mu.Lock()
	defer p.published.mu.Unlock()
	return p.published.atRisk
}
