// Package crankhealth judges workers by the results of their recent runs and starts. It
// decides how far a worker is trusted and which workers a task may be started on. It does
// no I/O and reads no clock.
package crankhealth

import (
	"slices"
	"time"
)

// Limits of the judgement.
const (
	QuickFailure    = 1 * time.Second        // a run that fails sooner says that the worker fails what it starts
	SuspectTime     = 8 * time.Second        // after a failure or refusal counts; as long as a quarantine
	ProvenTime      = 5 * time.Second        // after a completed run; workers of busy pools complete one every 3 s
	maxFailures     = 8                      // kept for one worker
	minFailedAt     = 3                      // workers at which a step fails before it may count as failing everywhere
	onsetShare      = 4                      // one of so many suspects is left out of the onset
	severalSuspects = 2                      // a job that can't be done makes one worker suspect, rarely two
	severalShare    = 25                     // or one of so many workers of the pool: single quick failures of sound workers are usual in a large one
	maxSuspects     = 4                      // more than one of so many suspect workers have another cause than the workers
	minProven       = 4                      // fewer than one of so many proven workers are not worth waiting for
	lastWait        = 500 * time.Millisecond // of a last attempt for a proven worker
	RestTime        = 500 * time.Millisecond // of a suspect worker; shorter than any task may be left idle
	KeptTime        = 200 * time.Millisecond // a run that lasts longer did not fail at once
	MaxWait         = 800 * time.Millisecond // of any task for another worker; with the time of a round below 1 s
	firstWait       = 400 * time.Millisecond // of tasks with more attempts
	fewAttempts     = 2                      // left; a task with more learns by them whether workers recovered
	refusalPenalty  = 2                      // refusals count for ordering as at most so many failures
)

// Trust is how far a worker is trusted with new runs.
type Trust int

// Levels of trust.
const (
	Resting   Trust = iota - 1 // failed or refused just now; gets no tasks unless there are many
	Suspect                    // failed a run quickly or refused a start a short time ago
	Unknown                    // nothing recent is known
	Proven                     // has recently completed a run that began after its last failure or refusal
	Confirmed                  // kept a run that began after workers of its pool became suspect
)

// Record is what is known of one incarnation of a worker. The zero value knows nothing.
type Record struct {
	failures     []failure // one for each job, the newest last
	refusals     int       // since the last completed run
	refusedAt    time.Time
	refusedFirst time.Time
	begunAt      time.Time // of the newest completed run
	doneAt       time.Time // of that run
	keptFrom     time.Time // when the newest run began that did not fail at once
}

type failure struct {
	job   string
	first time.Time
	at    time.Time // the newest
	quick bool
}

// WithFailure returns the record with a failed run of a job.
func (r Record) WithFailure(job string, at time.Time, ran time.Duration) Record {
	first := at
	for _, f := range r.failures {
		if f.job == job && isRecent(f.at, at) {
			first = f.first
		}
	}
	r = r.WithoutJob(job)
	r.failures = append(r.failures, failure{job, first, at, ran < QuickFailure})
	r.failures = r.failures[max(0, len(r.failures)-maxFailures):]
	return r
}

// WithoutJob returns the record without the failures of a job.
//
// Load pattern: 1 to 3 % of the jobs can never be done and fail on every worker.
func (r Record) WithoutJob(job string) Record {
	r.failures = slices.DeleteFunc(slices.Clone(r.failures), func(f failure) bool { return f.job == job })
	return r
}

// WithRefusal returns the record with a start that the worker refused or did not answer.
func (r Record) WithRefusal(at time.Time) Record {
	if !isRecent(r.refusedAt, at) {
		r.refusedFirst = at
	}
	r.refusals, r.refusedAt = r.refusals+1, at
	return r
}

// WithKept returns the record with a run that did not fail at once. It remains known when the
// run is preempted, so that what preempted it may still be placed there.
func (r Record) WithKept(begun time.Time) Record {
	if begun.After(r.keptFrom) {
		r.keptFrom = begun
	}
	return r
}

// WithSuccess returns the record with a completed run. It clears only failures and refusals
// before the run began: a worker that fails what it starts may still complete earlier runs.
func (r Record) WithSuccess(begun, done time.Time) Record {
	r.failures = slices.DeleteFunc(slices.Clone(r.failures), func(f failure) bool { return f.at.Before(begun) })
	if r.refusedAt.Before(begun) {
		r.refusals, r.refusedAt = 0, time.Time{}
	}
	if begun.After(r.begunAt) {
		r.begunAt, r.doneAt = begun, done
	}
	return r.WithKept(begun)
}

// FailedJobs returns how many jobs failed in a row.
func (r Record) FailedJobs() int { return len(r.failures) }

// Penalty orders workers: those with a lower one are preferred.
func (r Record) Penalty(now time.Time) int {
	n := 0
	for _, f := range r.failures {
		if isRecent(f.at, now) {
			n++
		}
	}
	if isRecent(r.refusedAt, now) {
		n += min(r.refusals, refusalPenalty)
	}
	return n
}

// Trust returns how far the worker is trusted.
//
// Load pattern: for some seconds, one worker in seven fails at once all that it starts, or
// resets connections. Such workers are always free and attract waiting work.
func (r Record) Trust(now time.Time) Trust {
	if r.refusals > 0 && isRecent(r.refusedAt, now) {
		return Suspect
	}
	for _, f := range r.failures {
		if f.quick && isRecent(f.at, now) {
			return Suspect
		}
	}
	if len(r.failures) == 0 && r.refusals == 0 && !r.doneAt.IsZero() && now.Sub(r.doneAt) <= ProvenTime {
		return Proven
	}
	return Unknown
}

// suspectSince returns the first recent event that makes the worker suspect, or zero.
func (r Record) suspectSince(now time.Time) time.Time {
	var since time.Time
	if isRecent(r.refusedAt, now) {
		since = r.refusedFirst
	}
	for _, f := range r.failures {
		if f.quick && isRecent(f.at, now) && (since.IsZero() || f.first.Before(since)) {
			since = f.first
		}
	}
	return since
}

// TrustIn returns how far the worker is trusted in its pool.
func (r Record) TrustIn(p Pool, now time.Time) Trust {
	t := r.Trust(now)
	if t == Suspect && now.Sub(r.lastFault()) < RestTime {
		return Resting
	}
	if t != Suspect && !p.Onset.IsZero() && r.keptFrom.After(p.Onset) && r.keptFrom.After(r.lastFault()) {
		return Confirmed
	}
	return t
}

// lastFault returns the newest failure or refusal.
func (r Record) lastFault() time.Time {
	at := r.refusedAt
	for _, f := range r.failures {
		if f.at.After(at) {
			at = f.at
		}
	}
	return at
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) <= SuspectTime }

// Step is what is known of the runs of one step of a job. A gang's runs count as one.
type Step struct {
	failedAt []string // workers
	runs     int      // that failed
	done     int      // runs that were completed
}

// WithFailure returns the step with a failed run at a worker.
func (s Step) WithFailure(worker string) Step {
	if !slices.Contains(s.failedAt, worker) {
		s.failedAt = append(s.failedAt[:len(s.failedAt):len(s.failedAt)], worker)
	}
	s.runs++
	return s
}

// WithSuccess returns the step with a completed run.
func (s Step) WithSuccess() Step {
	s.done++
	return s
}

// FailedAt returns the workers at which runs failed.
func (s Step) FailedAt() []string { return s.failedAt }

// FailsEverywhere reports whether the cause of the failures is the job: most of its runs
// failed, at several workers. Running is how many other runs are at work.
//
// Load pattern: of the 39 tasks of a sound step, six meet a failing worker, and all tasks of
// a step that can never be done fail. The number of workers alone does not tell them apart.
func (s Step) FailsEverywhere(running int) bool {
	return len(s.failedAt) >= minFailedAt && s.runs > s.done+running
}

// Pool counts the workers of a pool by trust.
type Pool struct {
	Workers  int
	Suspects int
	Proven   int       // or confirmed, and may get new tasks
	Onset    time.Time // when the suspects but for the first quarter began to be suspect, zero without any
}

// NewPool returns a pool whose workers have records. With does not count them yet. The onset
// leaves a quarter of the suspects out, since jobs that can never be done make single workers
// suspect some seconds before the others.
func NewPool(records []Record, now time.Time) Pool {
	var since []time.Time
	for _, r := range records {
		if at := r.suspectSince(now); !at.IsZero() {
			since = append(since, at)
		}
	}
	if len(since) == 0 {
		return Pool{}
	}
	slices.SortFunc(since, time.Time.Compare)
	return Pool{Onset: since[len(since)/onsetShare]}
}

// With returns the pool with one more worker, which may get new tasks or, in quarantine, may not.
func (p Pool) With(t Trust, schedulable bool) Pool {
	p.Workers++
	switch {
	case t <= Suspect:
		p.Suspects++
	case t >= Proven && schedulable:
		p.Proven++
	}
	return p
}

// RestsSuspects reports whether workers that became suspect get no tasks for RestTime. While
// many are suspect, the cause is not the workers, and the others could not carry the load.
func (p Pool) RestsSuspects() bool { return p.Suspects*maxSuspects <= p.Workers }

// Need is what decides about the workers on which a task or a gang may be started.
type Need struct {
	AttemptsLeft int // 0 if they are not limited
	Gang         bool
	Urgent       bool
	Declined     time.Duration // since the first time that only less trusted workers had room
}

// Order is the order in which workers of different trust are used.
type Order int

// Orders of trust.
const (
	LeastFirst Order = iota - 1
	AnyOrder
	MostFirst
)

// Choice is which workers may be used.
type Choice struct {
	Require Trust // that they must have at least
	Order   Order // of trust, which goes before how well they fit
}

// Choose returns which workers a task or a gang may be started on. No task declines room for
// longer than MaxWait. Tasks with attempts to spare decline only workers that rest. While several
// workers are suspect, they go first to workers of which least is known, which shows whether these are
// sound and leaves the others to gangs.
//
// Load pattern: gangs of five with two attempts are placed among workers of which one in
// seven fails all that it starts, so more than half of these gangs meet such a worker, and
// those that do so twice are lost. Runs that were started before go on and end well there.
func (p Pool) Choose(n Need) Choice {
	several := p.Suspects >= max(severalSuspects, p.Workers/severalShare)
	last, spare := n.AttemptsLeft == 1, !n.Gang && !n.Urgent && n.AttemptsLeft != fewAttempts
	switch {
	case last && n.Declined >= MaxWait:
		return Choice{Resting, MostFirst}
	case last && p.Suspects > 0:
		return Choice{Confirmed, MostFirst}
	case last && n.Declined < lastWait && p.Proven*minProven >= p.Workers:
		return Choice{Proven, MostFirst}
	case last:
		return Choice{Unknown, MostFirst}
	case n.Declined >= MaxWait:
		return Choice{Resting, orderWhile(several, MostFirst)}
	case spare:
		return Choice{Suspect, orderWhile(several, LeastFirst)}
	case !p.RestsSuspects():
		return Choice{Suspect, orderWhile(several, MostFirst)}
	case several && n.Gang && n.AttemptsLeft == fewAttempts && n.Declined < firstWait:
		return Choice{Confirmed, MostFirst}
	}
	return Choice{Unknown, orderWhile(several, MostFirst)}
}

func orderWhile(several bool, o Order) Order {
	if several {
		return o
	}
	return AnyOrder
}
