package crankevidence

import (
	"errors"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var task = crank.TaskID{Job: "job1"}

func TestReplyFreesOnlyWhatWasNotStarted(t *testing.T) {
	fail := func(k crank.Kind) error { return crank.Fail("worker call", k, "failed") }
	for _, v := range []struct {
		name      string
		reply     crank.OrderReply
		uncertain bool
		err       error
		want      Evidence
	}{
		{"started", crank.OrderReply{}, false, nil, None},
		{"refused", crank.OrderReply{Refusal: crank.RefusalNoCapacity}, false, nil, Refused},
		{"unhealthy", crank.OrderReply{}, false, fail(crank.KindUnavailable), Refused},
		{"connection refused", crank.OrderReply{}, false, fail(crank.KindRefused), Refused},
		{"another worker", crank.OrderReply{}, false, fail(crank.KindNotFound), Refused},
		{"another incarnation", crank.OrderReply{}, false, fail(crank.KindConflict), Refused},
		{"no answer", crank.OrderReply{}, true, fail(crank.KindUnknown), None},
		{"no answer, not known to be uncertain", crank.OrderReply{}, false, errors.New("broken off"), None},
		{"higher fence on the way", crank.OrderReply{}, false, fail(crank.KindFenced), None},
		{"refused after no answer", crank.OrderReply{Refusal: crank.RefusalFence}, true, nil, None},
		{"another worker after no answer", crank.OrderReply{}, true, fail(crank.KindNotFound), None},
		{"connection refused after no answer", crank.OrderReply{}, true, fail(crank.KindRefused), None},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Run{Task: task, Number: 1, Sent: true}.JudgeReply(v.reply, v.uncertain, v.err).Evidence(), v.want)
		})
	}
}

func TestEndsAndPlans(t *testing.T) {
	is := is.New(t)
	r := Run{Task: task, Number: 3}
	is.Equal(r.JudgePlanned().Evidence(), NotSent)
	r.Sent = true
	is.Equal(r.JudgePlanned().Evidence(), None)
	is.Equal(r.JudgeEnd(crank.EndedRun{Task: task, Run: 3}).Evidence(), Listed)
	is.Equal(r.JudgeEnd(crank.EndedRun{Task: task, Run: 4}).Evidence(), Listed)
	is.Equal(r.JudgeEnd(crank.EndedRun{Task: task, Run: 2}).Evidence(), None)
	is.Equal(r.JudgeEnd(crank.EndedRun{Task: crank.TaskID{Job: "job2"}, Run: 3}).Evidence(), None)
	is.Equal(JudgeWitnessed(3, 3).Evidence(), Listed)
	is.Equal(JudgeWitnessed(3, 4).Evidence(), None)
}

func TestReportsThatShowNothing(t *testing.T) {
	is := is.New(t)
	r := Run{Task: task, Number: 2, Sent: true, ConclusiveAfter: 1000, AnsweredAt: epoch}
	report := NewReport(crank.RenewReport{ClockMs: 3000}, epoch.Add(1), 0)
	is.Equal(r.JudgeReport(report).Evidence(), Unlisted) // sent after the answer
	for _, other := range []crank.RenewReport{{Incomplete: true}, {Unreadable: true}, {Active: []crank.ActiveRun{{Task: task, Run: 2}}}} {
		is.Equal(r.JudgeReport(NewReport(other, epoch.Add(1), 2000)).Evidence(), None)
	}
	is.Equal(r.JudgeReport(NewReport(crank.RenewReport{Active: []crank.ActiveRun{{Task: task, Run: 1}}}, epoch.Add(1), 0)).Evidence(), Unlisted)
	r.AnsweredAt = time.Time{}
	is.Equal(r.JudgeReport(report).Evidence(), None) // the worker's clock may not have been past the order
}

// A report shows that a run does not exist only if it would have listed it, whenever the
// worker takes its lists and reads its clock.
func TestDrawnReportsAreJudgedRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(low, high int, label string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
		}
		const ordered, deadline = 2 * time.Second, 3600 * time.Millisecond // the clock of the worker is that of the planner
		begins := ms(2001, 3600, "begins")
		r := Run{Task: task, Number: 1, Sent: true, ConclusiveAfter: deadline.Milliseconds()}
		replied := time.Duration(0)
		if rapid.Bool().Draw(t, "is answered") {
			replied = begins + ms(1, 500, "answer takes")
		}
		sent, sentClock := ms(0, 1000, "first renewal"), int64(0)
		for sent < 12*time.Second {
			listedAt := sent + ms(0, 1500, "lists")
			clockAt := listedAt + ms(0, 1500, "clock")
			received := clockAt + ms(0, 300, "answer")
			known := r
			if replied > 0 && replied <= received {
				known.AnsweredAt, known.ConclusiveAfter = epoch.Add(replied), begins.Milliseconds()
			}
			report := Report{Active: map[crank.TaskID]int64{}, Complete: true, Sent: epoch.Add(sent), SentClock: sentClock}
			if listedAt >= begins {
				report.Active[task] = 1
			}
			if v := known.JudgeReport(report); v.Over() {
				t.Fatalf("freed by %q at %s though it began at %s: lists taken at %s", v.Evidence(), received, begins, listedAt)
			}
			delete(report.Active, task) // as if it had never begun
			if sentClock > deadline.Milliseconds() && !known.JudgeReport(report).Over() {
				t.Fatalf("kept at %s after a reading at %dms", received, sentClock)
			}
			sent, sentClock = received, clockAt.Milliseconds()
		}
	})
}
