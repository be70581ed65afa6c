// Package cranksched is the planner: it places the tasks of jobs with steps on
// leased workers. It runs on the leader, the instance that holds the planner's term.
//
// Data flow:
//
//	submissions, cancellations (crankjobs) -> jobs -> claims -> store
//	worker list, reports of runs (crankfleet) -> workers and placements
//	planning round: ready steps + free capacity -> start and stop orders
//	ended runs -> job progress -> store -> acknowledged to the worker
//
// One goroutine owns all state. Calls to workers and the store run in their own
// goroutines and post their results to its inbox.
//
// Invariants:
//
//   - Before the first start order of a task is sent, it is stored that the task may run,
//     under an epoch that fences out planners of earlier terms. Any other task has never
//     been started when a term begins.
//   - Once a place of a task is stored, it is started elsewhere only after that is stored.
//     A task without a place may run at any worker.
//   - A worker incarnation is in the stored roster before it gets its first
//     order. A task that an earlier term may have started is started only after the worker
//     at its place has answered under the new fence, or that incarnation has ended or its
//     lease expired; without a place, only after that holds for each worker of the roster.
//   - A worker has left before its lease is over only if it was draining, does not answer,
//     and its entry was removed too soon after it was written for a silent worker. That
//     holds whichever planner or none saw it (crankfleet.Timeline).
//   - A worker that drains or does not answer is in the stored roster with what is left of
//     its lease, which is extended again only after a roster without that is stored.
//   - No lease outlasts the last contact of its planner with the store by more than the grace
//     period, so that a later planner knows when the leases of all earlier terms are over.
//   - A lease that this planner no longer extends counts as expired only once its term
//     is known to have been the newest after that time. Until then a later planner may
//     have extended the lease, and the tasks run on.
//   - A start order takes effect at the incarnation that it was sent to or nowhere
//     (crank.LeasedWorker), so that nothing runs for an incarnation that has ended.
//   - All start orders of a gang are sent or none. The end of the term cuts none of them off;
//     a later planner that finds only some members running stops them.
//   - Run numbers grow with the term, so that no number is used twice.
//   - A run whose order got no answer keeps its capacity until a report made
//     after the order expired does not list it.
package cranksched

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankestimate"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankhealth"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/crankoperator"

	"github.com/uber-go/tally/v4"
)

// Leadership is the planner's term that this instance holds as leader.
type Leadership interface {
	// Valid reports whether the term may still send orders.
	Valid() bool
	// LeaseLimit returns how long leases that are granted now may last at most.
	LeaseLimit() time.Duration
	// ConfirmedAfter reports whether no later term had begun at some time after t.
	ConfirmedAfter(t time.Time) bool
	// AppendedAt returns when the store last took a heartbeat of the term.
	AppendedAt() time.Time
	// UseClocks has later terms get readings of workers' clocks at the last contact with
	// the store.
	UseClocks(read func() []crank.WorkerClock)
	// Resign gives the term up.
	Resign(reason string)
	// Yield gives the term up in favour of another instance, unless that happened not
	// long ago, and reports whether it did.
	Yield(reason string) bool
	// Decline lets others claim first for a while, since this instance can't take the
	// term over.
	Decline()
}

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	Term        int64
	Leadership  Leadership
	Store       crank.Store
	StoreLimits crank.StoreLimits
	Jobs        *crankjobs.JobReplica
	Operator    *crankoperator.OperatorReplica
	Decode      crankfleet.Decoder
	Timeline    *crankfleet.Timeline // of the worker topic; may be nil
	Workers     crank.LeaseDialer
	Bounds      crank.LeaseBounds
	Planning    crank.Planning
	Former      crankfleet.FormerLeases // that planners of earlier terms granted
	Uptime      crank.Uptime
	Retention   time.Duration // how long ended jobs are kept
	Budget      crankjobs.Budget
	Logger      *slog.Logger
	Scope       tally.Scope
}

// Intervals, timeouts and limits of the scheduler.
const (
	tick              = 50 * time.Millisecond   // interval of periodic checks
	minRoundGap       = 10 * time.Millisecond   // between rounds, so that one round handles several events
	roundSpacing      = 5                       // from start to start, in durations of a round: rounds take at most 1/5 of the time
	usualRoundTime    = 200 * time.Millisecond  // a round that takes longer may have been held up
	roundLogPeriod    = 1 * time.Second         // between lines about slow rounds
	maxRoundGrowth    = 2                       // from one round to the next; what is longer is taken for a standstill
	startTimeout      = 600 * time.Millisecond  // of one try of a start order
	startTries        = 2                       // if no answer comes
	maxStartWindow    = 1600 * time.Millisecond // workers refuse later start orders; two tries fit
	gangStartShare    = 0.6                     // longest start window, as a share of how long a gang member waits for the others
	stopTimeout       = 600 * time.Millisecond  // of one try of a stop order
	stopMargin        = 300 * time.Millisecond  // for the report of the end, before a stop order is repeated
	handOverTime      = 700 * time.Millisecond  // for orders of gangs at the end of a term; others don't claim it yet
	gangEndGrace      = 2 * time.Second         // members of a gang that is done report their ends within one renewal
	recordDelay       = 250 * time.Millisecond  // for places of tasks that were started without, and first starts
	writeRetry        = 100 * time.Millisecond  // after a failed write
	unlistedGrace     = 2500 * time.Millisecond // an entry that expired during a store outage is back by then
	storeAwayTime     = 500 * time.Millisecond  // without an answer to a write; planned runs then give their capacity back,
	maxStoreAwayTime  = 2 * time.Second         // but no sooner than twice the usual time of a write, at most this
	historyTime       = 8 * time.Second         // of the worker list, that a new planner reads
	historyReadTime   = 3 * time.Second         // longest time of reading it
	syncPeriod        = 200 * time.Millisecond  // between checks for workers that left the list
	sweepPeriod       = 5 * time.Second         // between removals of old records
	storedLeaseMargin = 300 * time.Millisecond  // added to what a record says is left of a lease
	unreadableRetry   = 5 * time.Second         // before a term is claimed again that could not be taken over
	maxViewLag        = 2500 * time.Millisecond // of the job topic as read behind the store; cancelled tasks may be started until then
	maxBlindTime      = 2 * time.Second         // without planning, before the term is given up
	maxWriteQueueTime = 1 * time.Second         // a write that is not in a batch by then is refused
	inboxSize         = 256
)

// Scheduler is the planner during one term.
type Scheduler struct {
	Config
	inbox  chan func()
	list   *crankfleet.List
	writer *crankfeed.Writer
	ctx    context.Context

	ordersCtx  context.Context // of orders of gangs; ends after ctx
	gangOrders int             // without an answer

	revision          int64 // of the job state, last applied
	jobs              map[string]*job
	newestJob         map[string]time.Time // when the newest job of a pool was first seen
	queuesVersion     int64                // of queuePools
	queuePools        map[string]string    // by queue, in the configuration in force
	workers           map[string]*worker   // by worker ID
	dirty             map[string]*job      // progress to be stored
	acks              map[*worker]int64    // last ended run to acknowledge after the next write
	roster            roster
	unaccounted       map[string]time.Time               // incarnations of the inherited roster whose runs are not yet known, and when their leases have expired
	limits            map[string]crankfleet.FormerLeases // of some of them, that the inherited roster holds
	placesKnown       bool                               // recorded places refer to the inherited roster
	adopted           map[*placement]bool                // members of gangs that are not known to have started whole
	askedRoster       bool                               // the incarnations of the inherited roster that are not listed are asked for their runs
	writing           bool
	writeBegun        time.Time
	unansweredSince   time.Time     // start of the first write since the store last answered one, zero if there is none
	writeTime         time.Duration // of recent writes
	retryAt           time.Time
	changed           bool          // a planning round is needed
	roundAt           time.Time     // when the next round may begin
	roundTime         time.Duration // of rounds, without standstills of the instance
	roundLogAt        time.Time     // when the next slow round may be logged
	sweepAt           time.Time
	listVersion       int64 // last applied
	syncedAt          time.Time
	timeoutsCheckedAt time.Time
	guaranteed        map[string]bool          // workspaces whose urgent work is within their guarantee
	reserving         map[string]bool          // step keys of units that had a reservation in the last round
	awaiting          map[string]bool          // step keys of units that waited in the last round instead of preempting
	health            map[string]*workerHealth // by incarnation
	poolHealth        map[string]crankhealth.Pool
	dropped           map[string]bool        // ended in this term; the job state may not show it yet
	submitting        map[string]*submission // by job ID
	endPhases         map[string]crank.Phase // of jobs whose end is stored
	endWaiters        map[string][]chan crank.Phase
	knownEnd          crank.Offset // all records of the job topic before it were read or are this planner's
	begunAt           time.Time    // when the term was taken over
	pace              paceMeter
	tookOver          chan struct{} // closed once Submit and AwaitEnd may be called

	nextGaugeUpdate time.Time
	priorities      map[int]bool // seen on jobs, for resetting their gauges to 0

	blindAt      time.Time            // since when planning waits for the job topic to be read, zero while it doesn't
	unread       map[string]unreadJob // by job ID
	delayed      map[*job]bool        // to be recorded at delayedUntil
	delayedUntil time.Time
	clocks       atomic.Pointer[[]*worker] // whose clocks heartbeats carry
	heldBack     bool                      // occurrences are due that memory has no room for

	model        crankestimate.Model // of run times and speeds; knows nothing where planning isn't adaptive
	expectations expectations
	estimates    estimatesRecord
	fleet        atomic.Int64 // number of workers, 0 before the list is read

	firstRenewals *crankfleet.FirstRenewals
}

// New returns a scheduler for one term, which Run starts.
func New(c Config) *Scheduler {
	return &Scheduler{
		Config:      c,
		inbox:       make(chan func(), inboxSize),
		list:        crankfleet.NewList(crankfleet.ListConfig{Decode: c.Decode, Heartbeat: c.Bounds.Heartbeat, Timeline: c.Timeline, Logger: c.Logger}),
		jobs:        make(map[string]*job),
		newestJob:   make(map[string]time.Time),
		workers:     make(map[string]*worker),
		dirty:       make(map[string]*job),
		acks:        make(map[*worker]int64),
		roster:      newRoster(),
		unaccounted: make(map[string]time.Time),
		adopted:     make(map[*placement]bool),
		limits:      make(map[string]crankfleet.FormerLeases),
		health:      make(map[string]*workerHealth),
		dropped:     make(map[string]bool),
		submitting:  make(map[string]*submission),
		endPhases:   make(map[string]crank.Phase),
		endWaiters:  make(map[string][]chan crank.Phase),
		tookOver:    make(chan struct{}),

		priorities: make(map[int]bool),
		unread:     make(map[string]unreadJob),
		delayed:    make(map[*job]bool),

		expectations:  newExpectations(),
		firstRenewals: crankfleet.NewFirstRenewals(crankfleet.MaxFirstRenewals),
	}
}

// plannerProducer is the producer of the planner's records; the term is its epoch.
const plannerProducer = "planner"

// Run takes over the term and plans until the context ends, then finishes the orders of
// gangs. It returns early if the takeover fails.
func (s *Scheduler) Run(ctx context.Context) {
	s.ctx = ctx
	ordersCtx, cancelOrders := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelOrders()
	s.ordersCtx = ordersCtx
	s.writer = crankfeed.NewWriter(crankfeed.WriterConfig{
		Store: s.Store, Topic: crank.JobTopic, Logger: s.Logger, Producer: plannerProducer, Epoch: s.Term, Limits: s.StoreLimits, MaxQueueTime: maxWriteQueueTime, Withdraw: s.Planning.Adaptive,
	})
	if !s.takeOver(ctx) {
		return
	}
	feed := crankfeed.NewFollower(crankfeed.FollowerConfig{
		Store: s.Store, Topic: crank.WorkerTopic, Logger: s.Logger, MinInterval: crankfeed.Constant(crankfleet.ListPeriod), Sink: s.list,
	})
	go s.writer.Run(ctx)
	s.begunAt = time.Now()
	close(s.tookOver)
	s.Leadership.UseClocks(s.readClocks)
	go feed.Run(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_, changed := s.Jobs.Watch()
		s.iterate()
		select {
		case f := <-s.inbox:
			f()
			s.drainInbox()
		case <-changed:
		case <-ticker.C:
			s.changed = true
			s.checkPace(time.Now())
		case <-ctx.Done():
		}
	}
	s.finishOrders()
	s.clearGauges()
}

func (s *Scheduler) drainInbox() {
	for {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

// post runs f on the goroutine that owns the state.
func (s *Scheduler) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ctx.Done():
	}
}

// iterate applies external changes, runs a planning round if one is due and
// writes the results.
func (s *Scheduler) iterate() {
	view := s.Jobs.View()
	if term := view.State.Term; term > s.Term {
		// Records of the later term don't allow starts under this one.
		s.Leadership.Resign("the job topic has records of term " + strconv.FormatInt(term, 10))
		return
	}
	if view.State.Revision != s.revision {
		s.syncJobs(view.State, false)
	}
	now := time.Now()
	s.checkView(view.AsOf, now)
	s.syncWorkers(now)
	if now.Sub(s.timeoutsCheckedAt) >= tick {
		s.timeoutsCheckedAt = now
		s.checkTimeouts(now)
		s.endParts()
	}
	if s.changed && s.blindAt.IsZero() && s.Leadership.Valid() && time.Since(s.roundAt) >= minRoundGap {
		s.changed = false
		begun := time.Now()
		s.round()
		took := time.Since(begun)
		s.Scope.Timer("round").Record(took)
		s.pace.round(took)
		s.roundTime = min(took, max(maxRoundGrowth*s.roundTime, usualRoundTime))
		s.roundAt = begun.Add(took + (roundSpacing-1)*s.roundTime)
		s.logSlowRound(begun, took)
	}
	s.write()
	s.sweep()
	s.updateGauges(now)
}

// logSlowRound logs a round after which the next one has to wait.
func (s *Scheduler) logSlowRound(begun time.Time, took time.Duration) {
	if took < usualRoundTime || begun.Before(s.roundLogAt) {
		return
	}
	s.roundLogAt = begun.Add(roundLogPeriod)
	s.Logger.Info("sched: slow round", "took", took.Round(time.Millisecond), "next-in", time.Until(s.roundAt).Round(time.Millisecond), "jobs", len(s.jobs), "workers", len(s.workers))
}

// checkView stops planning while the store takes this instance's records, but the job topic
// can't be read: cancellations would be missed. If that lasts, the term is given up. In an
// outage of the store nothing is cancelled, so that planning goes on.
func (s *Scheduler) checkView(asOf, now time.Time) {
	lag := s.Leadership.AppendedAt().Sub(asOf)
	if blind := lag > maxViewLag; blind == s.blindAt.IsZero() {
		s.blindAt, s.changed = time.Time{}, true
		if blind {
			s.blindAt = now
		}
		s.Logger.Warn("sched: planning while the job topic is read", "planning", !blind, "lag", lag.Round(time.Millisecond))
	}
	if reason := "the job topic can't be read"; !s.blindAt.IsZero() && now.Sub(s.blindAt) > maxBlindTime && !s.Leadership.Yield(reason) {
		s.Leadership.Resign(reason)
	}
}
