package crankproof

import (
	"fmt"
	"sort"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeworker"
)

// Bounds of the promises.
const (
	zoneBound    = 3 * time.Second  // from a zone's leaving to the last start there
	leavingBound = 3 * time.Second  // from a worker's leaving to the last start there
	configBound  = 5 * time.Second  // from a publication to its force everywhere
	gangBound    = 16 * time.Second // for which a gang may be incomplete
)

// check returns every violation of a promise that a history shows.
func check(h *history, end time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var faults []string
	faults = append(faults, checkOnce(h)...)
	faults = append(faults, checkNotRun(h)...)
	faults = append(faults, checkAnswers(h)...)
	faults = append(faults, checkGangs(h, end)...)
	faults = append(faults, checkZones(h)...)
	faults = append(faults, checkLeaving(h)...)
	faults = append(faults, checkConfig(h)...)
	return faults
}

// checkOnce: a non-idempotent request starts each of its tasks at most once.
func checkOnce(h *history) (faults []string) {
	tasks := map[string]int{}
	for _, s := range h.starts {
		tasks[s.payload] += s.tasks
	}
	for _, r := range h.requests {
		if !r.idempotent && tasks[r.payload] > r.tasks {
			faults = append(faults, fmt.Sprintf("once: request %s started %d tasks, it has %d", r.payload, tasks[r.payload], r.tasks))
		}
	}
	return faults
}

// checkNotRun: a request that was refused as not run never started.
func checkNotRun(h *history) (faults []string) {
	for _, s := range h.starts {
		if r := h.requests[s.payload]; r != nil && (r.refused || r.outcome == crank.OutcomeNotRun) {
			faults = append(faults, fmt.Sprintf("not-run: request %s started at %s", s.payload, s.worker))
		}
	}
	return faults
}

// checkAnswers: an answer is the whole answer to its own request.
func checkAnswers(h *history) (faults []string) {
	for _, r := range h.requests {
		if r.fetched && r.answer != string(crankfakeworker.Answer([]byte(r.payload))) {
			faults = append(faults, fmt.Sprintf("answer: request %s got %q", r.payload, r.answer))
		}
	}
	return faults
}

// checkGangs: a gang is incomplete for a bounded time only, and no incomplete
// gang gives an answer.
func checkGangs(h *history, end time.Time) (faults []string) {
	byAttempt := map[crank.AttemptID][]taskEvent{}
	for _, s := range h.starts {
		byAttempt[s.attempt] = append(byAttempt[s.attempt], s)
	}
	for id, starts := range byAttempt {
		r := h.requests[starts[0].payload]
		if r == nil {
			continue
		}
		if since, until, partial := incomplete(h, id, starts, r.tasks, end); partial && until.Sub(since) > gangBound {
			faults = append(faults, fmt.Sprintf("gang: request %s attempt %d ran incomplete for %s", r.payload, id.Number, until.Sub(since)))
		}
	}
	return faults
}

// incomplete returns the longest span in which some but not all tasks of an
// attempt ran. Tasks that ended as done do not count as missing.
func incomplete(h *history, id crank.AttemptID, starts []taskEvent, tasks int, end time.Time) (since, until time.Time, partial bool) {
	type change struct {
		at   time.Time
		up   int
		done int
	}
	var changes []change
	for _, s := range starts {
		changes = append(changes, change{at: s.at, up: s.tasks})
	}
	for _, e := range h.ends {
		if e.attempt != id {
			continue
		}
		c := change{at: e.at, up: -e.tasks}
		if e.state == crank.PartDone {
			c.done = e.tasks
		}
		changes = append(changes, c)
	}
	sort.SliceStable(changes, func(a, b int) bool { return changes[a].at.Before(changes[b].at) })
	up, done := 0, 0
	var begun time.Time
	for i, c := range changes {
		up += c.up
		done += c.done
		if i+1 < len(changes) && changes[i+1].at.Equal(c.at) {
			continue
		}
		bad := up > 0 && up+done < tasks
		if bad && begun.IsZero() {
			begun = c.at
		}
		next := end
		if i+1 < len(changes) {
			next = changes[i+1].at
		}
		if bad && next.Sub(begun) > until.Sub(since) {
			since, until, partial = begun, next, true
		}
		if !bad {
			begun = time.Time{}
		}
	}
	return since, until, partial
}

// checkZones: no task starts in a zone later than the bound after it was taken
// out, unless it was brought back meanwhile.
func checkZones(h *history) (faults []string) {
	for _, s := range h.starts {
		var last zoneChange
		for _, z := range h.zones {
			if z.zone == s.zone && !z.at.After(s.at) && !z.at.Before(last.at) {
				last = z
			}
		}
		if last.out && s.at.Sub(last.at) > zoneBound {
			faults = append(faults, fmt.Sprintf("zone: request %s started in %s %s after it was taken out", s.payload, s.zone, s.at.Sub(last.at)))
		}
	}
	return faults
}

// checkLeaving: no task starts at a worker later than the bound after the
// platform said that it is leaving.
func checkLeaving(h *history) (faults []string) {
	for _, s := range h.starts {
		if since, ok := h.leavings[s.worker]; ok && s.at.Sub(since) > leavingBound {
			faults = append(faults, fmt.Sprintf("leaving: request %s started at %s %s after it was leaving", s.payload, s.worker, s.at.Sub(since)))
		}
	}
	return faults
}

// checkConfig: no instance goes back to an older configuration, and none judges
// by one that was replaced longer ago than the bound.
func checkConfig(h *history) (faults []string) {
	newest := map[string]int{}
	for _, v := range h.versions {
		if v.version < newest[v.instance] {
			faults = append(faults, fmt.Sprintf("config: instance %s went back from version %d to %d", v.instance, newest[v.instance], v.version))
		}
		newest[v.instance] = max(newest[v.instance], v.version)
		for _, a := range h.accepted {
			if v.version < a.version && v.at.Sub(a.at) > configBound {
				faults = append(faults, fmt.Sprintf("config: instance %s judged by version %d %s after version %d was accepted", v.instance, v.version, v.at.Sub(a.at), a.version))
			}
		}
	}
	return faults
}
