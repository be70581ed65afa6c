package crankproof

import (
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// TestCheckerFindsEachViolation gives the checker, for each of its rules, a
// history with one violation and the same history without it.
func TestCheckerFindsEachViolation(t *testing.T) {
	zero := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	id := func(job string, n int) crank.AttemptID { return crank.AttemptID{Job: job, Number: n} }
	cases := []struct {
		name  string
		build func(h *history, broken bool)
	}{
		{"once", func(h *history, broken bool) {
			h.addRequest(request{payload: "p", tasks: 1})
			h.starts = append(h.starts, partEvent{at: at(1), worker: "a", attempt: id("j", 1), tasks: 1, payload: "p"})
			h.ends = append(h.ends, partEvent{at: at(2), worker: "a", attempt: id("j", 1), tasks: 1, state: crank.PartDone})
			if broken {
				h.starts = append(h.starts, partEvent{at: at(3), worker: "b", attempt: id("k", 1), tasks: 1, payload: "p"})
				h.ends = append(h.ends, partEvent{at: at(4), worker: "b", attempt: id("k", 1), tasks: 1, state: crank.PartDone})
			}
		}},
		{"not-run", func(h *history, broken bool) {
			h.addRequest(request{payload: "p", tasks: 1, idempotent: true, refused: true})
			if broken {
				h.starts = append(h.starts, partEvent{at: at(1), worker: "a", attempt: id("j", 1), tasks: 1, payload: "p"})
				h.ends = append(h.ends, partEvent{at: at(2), worker: "a", attempt: id("j", 1), tasks: 1, state: crank.PartDone})
			}
		}},
		{"answer", func(h *history, broken bool) {
			answer := "answer to p"
			if broken {
				answer = "answer to q"
			}
			h.addRequest(request{payload: "p", tasks: 1, idempotent: true, fetched: true, answer: answer})
		}},
		{"gang", func(h *history, broken bool) {
			h.addRequest(request{payload: "p", tasks: 2, idempotent: true})
			h.starts = append(h.starts, partEvent{at: at(1), worker: "a", attempt: id("j", 1), tasks: 1, payload: "p"})
			if !broken {
				h.starts = append(h.starts, partEvent{at: at(2), worker: "b", attempt: id("j", 1), tasks: 1, payload: "p"})
			}
		}},
		{"zone", func(h *history, broken bool) {
			h.addRequest(request{payload: "p", tasks: 1, idempotent: true})
			h.zoneChanges = append(h.zoneChanges, zoneChange{at: at(1), zone: "z", out: true})
			if !broken {
				h.zoneChanges = append(h.zoneChanges, zoneChange{at: at(4), zone: "z"})
			}
			h.starts = append(h.starts, partEvent{at: at(4.5), worker: "a", zone: "z", attempt: id("j", 1), tasks: 1, payload: "p"})
		}},
		{"leaving", func(h *history, broken bool) {
			h.addRequest(request{payload: "p", tasks: 1, idempotent: true})
			h.addLeavingWorker("a", at(1))
			start := at(3)
			if broken {
				start = at(4.5)
			}
			h.starts = append(h.starts, partEvent{at: start, worker: "a", attempt: id("j", 1), tasks: 1, payload: "p"})
		}},
		{"config", func(h *history, broken bool) {
			h.addAcceptedVersion(acceptedVersion{at: at(1), version: 2})
			h.addObservedVersion(observedVersion{at: at(2), instance: "a", version: 1})
			version := 2
			if broken {
				version = 1
			}
			h.addObservedVersion(observedVersion{at: at(7), instance: "a", version: version})
		}},
		{"config", func(h *history, broken bool) {
			h.addObservedVersion(observedVersion{at: at(2), instance: "a", version: 2})
			version := 2
			if broken {
				version = 1
			}
			h.addObservedVersion(observedVersion{at: at(3), instance: "a", version: version})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			valid, broken := newHistory(), newHistory()
			c.build(valid, false)
			c.build(broken, true)
			is.Equal(checkHistory(valid, at(60)), nil)
			violations := checkHistory(broken, at(60))
			is.Equal(len(violations), 1)
			is.True(strings.HasPrefix(violations[0], c.name+":"))
		})
	}
}
