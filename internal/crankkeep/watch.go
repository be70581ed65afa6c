package crankkeep

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// watch keeps one worker.
type watch struct {
	Config
	id       string
	addr     string
	epoch    string
	revision int64
	full     time.Time // of the last full report
	extended time.Time // end of the last call that may have extended a lease
	answered time.Time // end of the last call that was answered
}

// Times of a watch.
const (
	fullPeriod  = time.Minute            // between full reports
	stopPeriod  = 300 * time.Millisecond // between looks for parts to stop
	retryDelay  = 200 * time.Millisecond // after a failed call
	extendLimit = 5 * time.Second        // of failed calls, after which leases are left to lapse
	recordWait  = 3 * time.Second
)

func (w *watch) run(ctx context.Context) {
	w.answered = time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.stopLoop(ctx) })
	for ctx.Err() == nil {
		if err := w.renew(ctx); err != nil && ctx.Err() == nil {
			w.checkLost(ctx)
			crankstream.Pause(ctx, retryDelay)
		}
	}
}

// renew makes one call and records what it reports.
func (w *watch) renew(ctx context.Context) error {
	r := crank.Renewal{Lease: crank.TaskLease, Since: w.revision, Epoch: w.epoch, Wait: crank.RenewWait}
	if time.Since(w.full) > fullPeriod {
		r.Since = 0
	}
	extends := time.Since(w.answered) < extendLimit
	if extends {
		r.Attempts = w.running()
	}
	call, cancel := context.WithTimeout(ctx, r.Wait+crank.CallTimeout)
	report, err := w.Workers.Worker(w.addr).Renew(call, r)
	cancel()
	if extends && (err == nil || crank.KindOf(err) != crank.KindUnavailable) {
		w.extended = time.Now()
	}
	if err != nil {
		if ctx.Err() == nil {
			w.Logger.Warn("keep: renewal failed", "worker", w.id, "error", err)
		}
		return err
	}
	w.answered = time.Now()
	w.found(ctx)
	if !w.recordEnded(ctx, report) {
		return crank.Fail("part record", crank.KindUnavailable, "not all ended parts were recorded")
	}
	if r.Since == 0 || report.Epoch != w.epoch {
		w.full = w.answered
	}
	w.epoch, w.revision = report.Epoch, report.Revision
	return nil
}

// running returns the attempts at the worker whose leases are to be extended.
func (w *watch) running() []crank.AttemptID {
	var ids []crank.AttemptID
	w.eachPart(func(j crankfold.Job, p crankfold.Part) {
		if j.Attempt.Started && !p.Over() {
			ids = append(ids, j.ID())
		}
	})
	return ids
}

// eachPart calls f for every part of a current attempt at the worker.
func (w *watch) eachPart(f func(crankfold.Job, crankfold.Part)) {
	state := w.Box.View().State
	known, _ := state.Worker(w.id)
	for _, id := range known.Attempts {
		j, ok := state.Job(id.Job)
		if !ok || j.ID() != id || !j.Holds() {
			continue
		}
		for _, p := range j.Attempt.Parts {
			if p.Worker == w.id {
				f(j, p)
			}
		}
	}
}

// recordEnded proposes a record for every part that ended, and reports whether
// all of them were appended.
func (w *watch) recordEnded(ctx context.Context, report crank.Report) bool {
	state := w.Box.View().State
	found := w.sort(state, report.Parts)
	if len(found.unsure) > 0 {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		view, err := crankstream.Sync(call, w.Log, w.Box)
		cancel()
		if err != nil {
			return false
		}
		found = w.sort(view.State, report.Parts)
	}
	if len(found.unsure) > 0 {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		_ = w.Workers.Worker(w.addr).Forget(call, found.unsure)
		cancel()
	}
	return w.propose(ctx, append(found.ended, w.restarted(report.Epoch)...))
}

// findings sorts the parts of a report.
type findings struct {
	ended  []crankrecord.Record
	unsure []crank.AttemptID // the state does not have them, or not yet
}

// sort compares a report with a state. A state that is behind the report lacks
// attempts that the worker has ended already; one that is not lacks only what
// was dropped with its job.
func (w *watch) sort(state crankfold.State, parts []crank.PartStatus) (f findings) {
	for _, status := range parts {
		j, ok := state.Job(status.Attempt.Job)
		switch {
		case !ok || status.Attempt.Number > j.Attempt.Number:
			f.unsure = append(f.unsure, status.Attempt)
		case status.State.Ended() && status.State != crank.PartFenced && w.open(j, status.Attempt):
			f.ended = append(f.ended, ended(w.id, status))
		}
	}
	return f
}

// open reports whether the state lacks the end of an attempt's part here.
func (w *watch) open(j crankfold.Job, id crank.AttemptID) bool {
	if j.ID() != id {
		return false
	}
	for _, p := range j.Attempt.Parts {
		if p.Worker == w.id {
			return !p.State.Ended()
		}
	}
	return false
}

// restarted returns the ends of the parts that an earlier life of the worker
// ran.
func (w *watch) restarted(epoch string) []crankrecord.Record {
	var records []crankrecord.Record
	w.eachPart(func(j crankfold.Job, p crankfold.Part) {
		if j.Attempt.Started && !p.Over() && p.Epoch != epoch {
			status := crank.PartStatus{Attempt: j.ID(), State: crank.PartStopped, Detail: "the worker restarted"}
			records = append(records, ended(w.id, status))
		}
	})
	return records
}

func ended(worker string, status crank.PartStatus) crankrecord.Record {
	return crankrecord.Record{Ended: &crankrecord.Ended{Worker: worker, Status: status}}
}

func (w *watch) propose(ctx context.Context, records []crankrecord.Record) bool {
	if len(records) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	_, err := w.Writer.Propose(call, crankstream.PriorityNormal, records...)
	if err != nil && ctx.Err() == nil {
		w.Logger.Warn("keep: record failed", "worker", w.id, "error", err)
	}
	return err == nil
}

// checkLost records the worker as lost when every lease there has lapsed.
func (w *watch) checkLost(ctx context.Context) {
	known, ok := w.Box.View().State.Worker(w.id)
	silent := time.Since(w.answered) > extendLimit
	lapsed := time.Since(w.extended) > crank.TaskLease+crank.LeaseMargin
	if !ok || known.Lost || !silent || !lapsed {
		return
	}
	w.Logger.Warn("keep: worker is lost", "worker", w.id)
	w.propose(ctx, []crankrecord.Record{{Lost: &crankrecord.Lost{Worker: w.id, Addr: w.addr}}})
}

// found records that a lost worker answers again.
func (w *watch) found(ctx context.Context) {
	known, ok := w.Box.View().State.Worker(w.id)
	if ok && known.Lost {
		w.propose(ctx, []crankrecord.Record{{Lost: &crankrecord.Lost{Worker: w.id, Addr: w.addr, Found: true}}})
	}
}

// stopLoop stops the parts of started attempts that are to end.
func (w *watch) stopLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := w.Box.Get()
		w.eachPart(func(j crankfold.Job, p crankfold.Part) {
			if j.Attempt.Started && j.Attempt.Stopping && !p.Over() {
				w.stop(ctx, j, p)
			}
		})
		crankstream.Pause(ctx, stopPeriod)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *watch) stop(ctx context.Context, j crankfold.Job, p crankfold.Part) {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	command := crank.Command{Attempt: j.ID(), Token: j.Attempt.Token, Epoch: p.Epoch}
	if _, err := w.Workers.Worker(w.addr).Stop(call, command); err != nil && ctx.Err() == nil {
		w.Logger.Warn("keep: stop failed", "worker", w.id, "job", j.Job, "error", err)
	}
}
