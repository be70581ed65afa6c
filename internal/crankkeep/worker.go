package crankkeep

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// workerKeeper renews the leases at one worker and records how its tasks end.
type workerKeeper struct {
	Config
	id             string
	addr           string
	epoch          string // incarnation of the worker in its last report
	revision       int64  // of the worker's last report
	lastFullReport time.Time
	lastExtended   time.Time // end of the last call that may have extended a lease
	lastAnswered   time.Time // end of the last call that was answered
}

const (
	fullReportPeriod = time.Minute            // between full reports
	stopPeriod       = 300 * time.Millisecond // shortest pause between passes that stop parts
	retryDelay       = 200 * time.Millisecond // after a failed call
	extendTimeout    = 5 * time.Second        // without an answer, after which leases are left to expire
	proposeTimeout   = 3 * time.Second
)

func (w *workerKeeper) run(ctx context.Context) {
	w.lastAnswered = time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.stopLoop(ctx) })
	for ctx.Err() == nil {
		if err := w.renew(ctx); err != nil && ctx.Err() == nil {
			w.reportIfLost(ctx)
			crankstream.Sleep(ctx, retryDelay)
		}
	}
}

// renew makes one renewal and records the ended parts of its report.
func (w *workerKeeper) renew(ctx context.Context) error {
	r := crank.Renewal{Worker: w.id, Lease: crank.TaskLease, Since: w.revision, Epoch: w.epoch, Wait: crank.RenewWait}
	if time.Since(w.lastFullReport) > fullReportPeriod {
		r.Since = 0
	}
	extends := time.Since(w.lastAnswered) < extendTimeout
	if extends {
		r.Attempts = w.leasedAttempts()
	}
	call, cancel := context.WithTimeout(ctx, r.Wait+crank.CallTimeout)
	report, err := w.Workers.Worker(w.addr).Renew(call, r)
	cancel()
	if extends && (err == nil || crank.KindOf(err) != crank.KindUnavailable) {
		w.lastExtended = time.Now()
	}
	if err != nil {
		if ctx.Err() == nil {
			w.Logger.Warn("keep: lease renewal failed", "worker", w.id, "error", err)
		}
		return err
	}
	w.lastAnswered = time.Now()
	w.reportIfRecovered(ctx)
	if !w.recordEnded(ctx, report) {
		return crank.Fail("part record", crank.KindUnavailable, "not all ended parts were recorded")
	}
	if r.Since == 0 || report.Epoch != w.epoch {
		w.lastFullReport = w.lastAnswered
	}
	w.epoch, w.revision = report.Epoch, report.Revision
	return nil
}

// leasedAttempts returns the attempts whose leases the renewal extends.
func (w *workerKeeper) leasedAttempts() []crank.AttemptID {
	var ids []crank.AttemptID
	w.forEachPart(func(j crankstate.Job, p crankstate.Part) {
		if j.Attempt.Started && !p.EndedOrLost() {
			ids = append(ids, j.ID())
		}
	})
	return ids
}

// forEachPart calls f for the worker's part of each of its active attempts.
func (w *workerKeeper) forEachPart(f func(crankstate.Job, crankstate.Part)) {
	state := w.Cache.View().State
	known, _ := state.Worker(w.id)
	for _, id := range known.Attempts {
		j, ok := state.Job(id.Job)
		if !ok || j.ID() != id || !j.IsActive() {
			continue
		}
		for _, p := range j.Attempt.Parts {
			if p.Worker == w.id {
				f(j, p)
			}
		}
	}
}

// recordEnded proposes a record for every part that ended and reports whether all
// were appended. If the state lacks attempts of the report, it reads the log to its
// end first and lets the worker forget those still missing.
func (w *workerKeeper) recordEnded(ctx context.Context, report crank.Report) bool {
	state := w.Cache.View().State
	classified := w.classify(state, report.Parts)
	if len(classified.unknown) > 0 {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		view, err := crankstream.Sync(call, w.Log, w.Cache)
		cancel()
		if err != nil {
			return false
		}
		classified = w.classify(view.State, report.Parts)
	}
	if len(classified.unknown) > 0 {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		_ = w.Workers.Worker(w.addr).Forget(call, classified.unknown)
		cancel()
	}
	return w.propose(ctx, append(classified.ended, w.endedByRestart(report.Epoch)...))
}

// classifiedParts holds the parts of a report that need action.
type classifiedParts struct {
	ended   []crankrecord.Record
	unknown []crank.AttemptID // missing from the state
}

// classify compares a report with a state. A state older than the report may lack
// recent attempts; a current one lacks only those whose job was pruned.
func (w *workerKeeper) classify(state crankstate.State, parts []crank.PartStatus) (c classifiedParts) {
	for _, status := range parts {
		j, ok := state.Job(status.Attempt.Job)
		switch {
		case !ok || status.Attempt.Number > j.Attempt.Number:
			c.unknown = append(c.unknown, status.Attempt)
		case status.State.Ended() && status.State != crank.PartFenced && w.lacksEnd(j, status.Attempt):
			c.ended = append(c.ended, endedRecord(w.id, status))
		}
	}
	return c
}

// lacksEnd reports whether the state lacks the end of the attempt's part on this worker.
func (w *workerKeeper) lacksEnd(j crankstate.Job, id crank.AttemptID) bool {
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

// endedByRestart returns the ends of parts that earlier incarnations of the worker
// ran.
func (w *workerKeeper) endedByRestart(epoch string) []crankrecord.Record {
	var records []crankrecord.Record
	w.forEachPart(func(j crankstate.Job, p crankstate.Part) {
		if j.Attempt.Started && !p.EndedOrLost() && p.Epoch != epoch {
			status := crank.PartStatus{Attempt: j.ID(), State: crank.PartStopped, Detail: "the worker restarted"}
			records = append(records, endedRecord(w.id, status))
		}
	})
	return records
}

func endedRecord(worker string, status crank.PartStatus) crankrecord.Record {
	return crankrecord.Record{Ended: &crankrecord.Ended{Worker: worker, Status: status}}
}

func (w *workerKeeper) propose(ctx context.Context, records []crankrecord.Record) bool {
	if len(records) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := w.Writer.Propose(call, crankstream.PriorityNormal, records...)
	if err != nil && ctx.Err() == nil {
		w.Logger.Warn("keep: proposal failed", "worker", w.id, "error", err)
	}
	return err == nil
}

// reportIfLost records the worker as lost once all its leases have expired.
func (w *workerKeeper) reportIfLost(ctx context.Context) {
	known, ok := w.Cache.View().State.Worker(w.id)
	silent := time.Since(w.lastAnswered) > extendTimeout
	leaseExpired := time.Since(w.lastExtended) > crank.TaskLease+crank.LeaseMargin
	if !ok || known.Lost || !silent || !leaseExpired {
		return
	}
	w.Logger.Warn("keep: worker is lost, all its leases expired", "worker", w.id)
	w.propose(ctx, []crankrecord.Record{{Lost: &crankrecord.Lost{Worker: w.id, Addr: w.addr}}})
}

// reportIfRecovered records that a lost worker answers again.
func (w *workerKeeper) reportIfRecovered(ctx context.Context) {
	known, ok := w.Cache.View().State.Worker(w.id)
	if ok && known.Lost {
		w.propose(ctx, []crankrecord.Record{{Lost: &crankrecord.Lost{Worker: w.id, Addr: w.addr, Recovered: true}}})
	}
}

// stopLoop stops the parts of started attempts that are marked as stopping.
func (w *workerKeeper) stopLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := w.Cache.Get()
		w.forEachPart(func(j crankstate.Job, p crankstate.Part) {
			if j.Attempt.Started && j.Attempt.Stopping && !p.EndedOrLost() {
				w.stopPart(ctx, j, p)
			}
		})
		crankstream.Sleep(ctx, stopPeriod)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *workerKeeper) stopPart(ctx context.Context, j crankstate.Job, p crankstate.Part) {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	command := crank.Command{Worker: w.id, Attempt: j.ID(), Token: j.Attempt.Token, Epoch: p.Epoch}
	if _, err := w.Workers.Worker(w.addr).Stop(call, command); err != nil && ctx.Err() == nil {
		w.Logger.Warn("keep: stopping a part failed", "worker", w.id, "job", j.Job, "error", err)
	}
}
