package crankproof

import (
	"fmt"
	"sort"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeworker"
)

// Time limits of the invariants.
const (
	zoneBound    = 3 * time.Second  // from taking a zone out of service to the last start there
	leavingBound = 3 * time.Second  // from marking a worker as leaving to the last start there
	configBound  = 5 * time.Second  // from a publication until all instances apply it
	gangBound    = 16 * time.Second // during which a gang may be incomplete
)

// checkHistory returns every violation of an invariant in a history.
func checkHistory(h *history, end time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	violations = append(violations, checkAtMostOnce(h)...)
	violations = append(violations, checkNotRun(h)...)
	violations = append(violations, checkAnswers(h)...)
	violations = append(violations, checkGangs(h, end)...)
	violations = append(violations, checkZones(h)...)
	violations = append(violations, checkLeaving(h)...)
	violations = append(violations, checkConfig(h)...)
	return violations
}

// checkAtMostOnce checks that a request that is not idempotent starts each of
// its tasks at most once.
func checkAtMostOnce(h *history) (violations []string) {
	tasks := map[string]int{}
	for _, s := range h.starts {
		tasks[s.payload] += s.tasks
	}
	for _, r := range h.requests {
		if !r.idempotent && tasks[r.payload] > r.tasks {
			violations = append(violations, fmt.Sprintf("once: request %s started %d tasks, it has %d", r.payload, tasks[r.payload], r.tasks))
		}
	}
	return violations
}

// checkNotRun checks that no request starts that was reported as not run.
func checkNotRun(h *history) (violations []string) {
	for _, s := range h.starts {
		if r := h.requests[s.payload]; r != nil && (r.refused || r.outcome == crank.OutcomeNotRun) {
			violations = append(violations, fmt.Sprintf("not-run: request %s started at %s", s.payload, s.worker))
		}
	}
	return violations
}

// checkAnswers checks that each fetched answer is the whole answer to its request.
func checkAnswers(h *history) (violations []string) {
	for _, r := range h.requests {
		if r.fetched && r.answer != string(crankfakeworker.Answer([]byte(r.payload))) {
			violations = append(violations, fmt.Sprintf("answer: request %s got %q", r.payload, r.answer))
		}
	}
	return violations
}

// checkGangs checks that no gang is incomplete for longer than gangBound.
func checkGangs(h *history, end time.Time) (violations []string) {
	byAttempt := map[crank.AttemptID][]partEvent{}
	for _, s := range h.starts {
		byAttempt[s.attempt] = append(byAttempt[s.attempt], s)
	}
	for id, starts := range byAttempt {
		r := h.requests[starts[0].payload]
		if r == nil {
			continue
		}
		if since, until, found := longestIncompleteSpan(h, id, starts, r.tasks, end); found && until.Sub(since) > gangBound {
			violations = append(violations, fmt.Sprintf("gang: request %s attempt %d ran incomplete for %s", r.payload, id.Number, until.Sub(since)))
		}
	}
	return violations
}

// longestIncompleteSpan returns the longest span in which some but not all tasks
// of an attempt ran. Tasks that ended as done do not count as missing.
func longestIncompleteSpan(h *history, id crank.AttemptID, starts []partEvent, tasks int, end time.Time) (since, until time.Time, found bool) {
	type change struct {
		at      time.Time
		running int
		done    int
	}
	var changes []change
	for _, s := range starts {
		changes = append(changes, change{at: s.at, running: s.tasks})
	}
	for _, e := range h.ends {
		if e.attempt != id {
			continue
		}
		c := change{at: e.at, running: -e.tasks}
		if e.state == crank.PartDone {
			c.done = e.tasks
		}
		changes = append(changes, c)
	}
	sort.SliceStable(changes, func(a, b int) bool { return changes[a].at.Before(changes[b].at) })
	running, done := 0, 0
	var start time.Time
	for i, c := range changes {
		running += c.running
		done += c.done
		if i+1 < len(changes) && changes[i+1].at.Equal(c.at) {
			continue
		}
		incomplete := running > 0 && running+done < tasks
		if incomplete && start.IsZero() {
			start = c.at
		}
		next := end
		if i+1 < len(changes) {
			next = changes[i+1].at
		}
		if incomplete && next.Sub(start) > until.Sub(since) {
			since, until, found = start, next, true
		}
		if !incomplete {
			start = time.Time{}
		}
	}
	return since, until, found
}

// checkZones checks that no task starts in a zone later than zoneBound after it
// was taken out of service, unless it was put back meanwhile.
func checkZones(h *history) (violations []string) {
	for _, s := range h.starts {
		var last zoneChange
		for _, z := range h.zoneChanges {
			if z.zone == s.zone && !z.at.After(s.at) && !z.at.Before(last.at) {
				last = z
			}
		}
		if last.out && s.at.Sub(last.at) > zoneBound {
			violations = append(violations, fmt.Sprintf("zone: request %s started in %s %s after it was taken out", s.payload, s.zone, s.at.Sub(last.at)))
		}
	}
	return violations
}

// checkLeaving checks that no task starts at a worker later than leavingBound
// after the platform marked the worker as leaving.
func checkLeaving(h *history) (violations []string) {
	for _, s := range h.starts {
		if since, ok := h.leavingSince[s.worker]; ok && s.at.Sub(since) > leavingBound {
			violations = append(violations, fmt.Sprintf("leaving: request %s started at %s %s after it was leaving", s.payload, s.worker, s.at.Sub(since)))
		}
	}
	return violations
}

// checkConfig checks that no instance goes back to an older configuration, and
// that none uses one that was replaced longer ago than configBound.
func checkConfig(h *history) (violations []string) {
	newest := map[string]int{}
	for _, v := range h.observedVersions {
		if v.version < newest[v.instance] {
			violations = append(violations, fmt.Sprintf("config: instance %s went back from version %d to %d", v.instance, newest[v.instance], v.version))
		}
		newest[v.instance] = max(newest[v.instance], v.version)
		for _, a := range h.acceptedVersions {
			if v.version < a.version && v.at.Sub(a.at) > configBound {
				violations = append(violations, fmt.Sprintf("config: instance %s used version %d %s after version %d was accepted", v.instance, v.version, v.at.Sub(a.at), a.version))
			}
		}
	}
	return violations
}
