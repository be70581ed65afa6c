package crankgate

import (
	"context"
	"maps"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
)

// maxUniqueCancellations is the number of cancellations of a job that an instance writes
// under keys of their own before it reads the job topic again.
const maxUniqueCancellations = 8

// Cancel cancels a job. An error of KindExpired means that it does not exist, and that
// submissions of it that were sent before never run.
func (h *RequestHandler) Cancel(ctx context.Context, r RoutedRequest) error {
	j, err := h.findJob(ctx, r)
	switch {
	case err == nil && !j.Ended():
		err = h.whileHeld(ctx, r, func(r RoutedRequest) error { return h.cancel(ctx, r, j.Job.Accepted) })
	case crank.KindOf(err) == crank.KindExpired:
		var record crank.KeyedRecord
		if record, err = crankjobs.WithdrawalRecord(r.Job); err == nil {
			err = h.whileHeld(ctx, r, func(r RoutedRequest) error { return h.withdraw(ctx, r, record) })
		}
	}
	h.Logger.Info("gate: cancellation", "job", r.Job, "phase", j.Phase(), "result", resultOf(err), "took", time.Since(r.Arrived).Round(time.Millisecond), "error", err)
	return err
}

// cancel stores a cancellation, unless this instance has stored one and not read it yet.
// It is also stored under a key of its own: an earlier one, which may come before the job's
// end, must not be replaced.
func (h *RequestHandler) cancel(ctx context.Context, r RoutedRequest, accepted time.Time) error {
	known := jobIdentity{r.Job, accepted.UnixNano()}
	sent := h.unread.add(known, h.Jobs.View().AsOf)
	if sent.stored {
		return nil
	}
	records := []crank.KeyedRecord{crankjobs.CancellationRecord(r.Job)}
	if sent.attempts <= maxUniqueCancellations {
		unique, err := crankjobs.UniqueCancellationRecord(r.Job)
		if err != nil {
			return err
		}
		records = append(records, unique)
	}
	_, err := h.append(ctx, r, records...)
	h.unread.end(known, err)
	return err
}

// jobIdentity tells a job from a later one with the same ID.
type jobIdentity struct {
	id       string
	accepted int64
}

// sentCancellation is what this instance has sent of a job's cancellation since it last
// read the job topic.
type sentCancellation struct {
	attempts int // that were or may be stored
	stored   bool
	at       time.Time // end of the newest attempt
}

// unreadCancellations holds the cancellations that this instance has sent and not read.
type unreadCancellations struct {
	mu   sync.Mutex
	jobs map[jobIdentity]sentCancellation
}

// add counts an attempt to store a cancellation. It forgets the attempts of which the
// topic, as read at a time, shows the effect.
func (u *unreadCancellations) add(j jobIdentity, read time.Time) sentCancellation {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.jobs, func(_ jobIdentity, c sentCancellation) bool { return read.After(c.at) })
	c := u.jobs[j]
	if c.stored {
		return c
	}
	c.attempts++
	c.at = time.Now()
	u.set(j, c)
	return c
}

// end records the result of an attempt.
func (u *unreadCancellations) end(j jobIdentity, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.jobs[j]
	c.stored = c.stored || err == nil
	if crank.KindOf(err) == crank.KindUnavailable {
		c.attempts = max(0, c.attempts-1)
	}
	c.at = time.Now()
	u.set(j, c)
}

func (u *unreadCancellations) set(j jobIdentity, c sentCancellation) {
	if u.jobs == nil {
		u.jobs = make(map[jobIdentity]sentCancellation)
	}
	u.jobs[j] = c
}
