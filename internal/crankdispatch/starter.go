package crankdispatch

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// starter starts or aborts one attempt under one fencing token.
type starter struct {
	Config
	id       crank.AttemptID
	token    crank.Position
	sent     sync.Map // IDs of the workers that a start was sent to
	reason   string   // why the start failed
	causedBy string   // worker that caused it
}

// run works on the attempt until it is started, has ended or is reassigned.
func (s *starter) run(stop context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	defer context.AfterFunc(stop, func() { time.AfterFunc(shutdownTimeout, cancel) })()
	for ctx.Err() == nil {
		j, ok := s.current()
		if !ok || j.Attempt.Started {
			return
		}
		if s.reason == "" && !j.Attempt.Stopping {
			s.reason = s.start(ctx, j)
		}
		if s.reason != "" || j.Attempt.Stopping {
			s.abort(ctx, j)
		}
		s.awaitRecorded(ctx)
	}
}

// awaitRecorded waits for the state to show the proposed record.
func (s *starter) awaitRecorded(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, stateWaitTimeout)
	defer cancel()
	_, _ = s.Cache.Wait(call, func(v stateView) bool {
		j, ok := s.ownedIn(v.State)
		return !ok || j.Attempt.Started
	})
}

// current returns the job, and whether the attempt is active under this token.
func (s *starter) current() (crankstate.Job, bool) { return s.ownedIn(s.Cache.View().State) }

func (s *starter) ownedIn(state crankstate.State) (crankstate.Job, bool) {
	j, ok := state.Job(s.id.Job)
	return j, ok && j.ID() == s.id && j.IsActive() && j.Attempt.Token == s.token
}

// start takes the steps of the package comment and returns why it failed, or "".
func (s *starter) start(ctx context.Context, j crankstate.Job) string {
	if err := s.stopEvicted(ctx, j); err != nil {
		return "an evicted attempt did not stop in time"
	}
	if worker, err := s.forEachPart(j, func(p crankstate.Part) error { return s.reserve(ctx, j, p) }); err != nil {
		s.causedBy = worker
		return "a worker could not be reserved: " + errorMessage(err)
	}
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	view, err := crankstream.Sync(call, s.Log, s.Cache)
	cancel()
	if err != nil {
		return "the log could not be read"
	}
	if reason := s.checkStartable(view.State, j); reason != "" {
		return reason
	}
	if worker, err := s.forEachPart(j, func(p crankstate.Part) error { return s.startPart(ctx, j, p) }); err != nil {
		s.causedBy = worker
		return "a part could not be started: " + errorMessage(err)
	}
	s.propose(ctx, j, crankrecord.Record{Started: &crankrecord.Started{Attempt: s.id, Token: s.token}})
	return ""
}

// checkStartable returns why the attempt must not be started, or "". The state is
// read after the last reservation.
func (s *starter) checkStartable(state crankstate.State, j crankstate.Job) string {
	current, ok := s.ownedIn(state)
	if !ok || current.Attempt.Stopping {
		return "the attempt is over"
	}
	members := s.Members()
	if time.Since(members.AsOf) > crank.MaxListAge {
		return "the instance list is out of reach"
	}
	for _, p := range j.Attempt.Parts {
		w, ok := state.Worker(p.Worker)
		if !ok || w.Gone || w.Lost {
			return "worker " + p.Worker + " is not in service"
		}
		if state.Zone(w.Zone).Out {
			return "availability zone " + w.Zone + " is out of service"
		}
		if listed, ok := members.Worker(p.Worker); !ok || listed.Leaving {
			return "worker " + p.Worker + " is leaving"
		}
	}
	return ""
}

// evictTimeout bounds the wait for evicted attempts to end.
const evictTimeout = 3 * time.Second

// stopEvicted stops the parts of evicted attempts on the workers of this attempt.
func (s *starter) stopEvicted(ctx context.Context, j crankstate.Job) error {
	call, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	for _, id := range j.Attempt.Evictions {
		victim, ok := s.Cache.View().State.Job(id.Job)
		if !ok || victim.ID() != id {
			continue
		}
		for _, p := range victim.Attempt.Parts {
			if j.PartAt(p.Worker) < 0 || p.EndedOrLost() {
				continue
			}
			command := crank.Command{Worker: p.Worker, Attempt: id, Token: victim.Attempt.Token, Epoch: p.Epoch}
			_, err := s.stopUntilEnded(call, p.Worker, command)
			if err != nil && crank.KindOf(err) != crank.KindNotFound {
				return err
			}
		}
	}
	return nil
}

// stopPollInterval is the pause between polls of a part that is being stopped.
const stopPollInterval = 20 * time.Millisecond

func (s *starter) stopUntilEnded(ctx context.Context, worker string, c crank.Command) (crank.PartStatus, error) {
	for {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		status, err := s.workerClient(worker).Stop(call, c)
		cancel()
		if err == nil && status.State.Ended() {
			return status, nil
		}
		if err != nil && isPermanent(err) {
			return status, err
		}
		if crankstream.Sleep(ctx, stopPollInterval); ctx.Err() != nil {
			return status, crank.Wrap("part stop", crank.KindUnknown, ctx.Err())
		}
	}
}

// reserveTimeout bounds the retries of one reservation. retryInterval is the pause
// before a reservation or start is retried.
const (
	reserveTimeout = 600 * time.Millisecond
	retryInterval  = 50 * time.Millisecond
)

func (s *starter) reserve(ctx context.Context, j crankstate.Job, p crankstate.Part) error {
	call, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r := crank.Reservation{
		Command:   s.command(p),
		Tasks:     p.Tasks,
		Resources: j.Rules.Shape.PerTask.Times(p.Tasks),
		Timeout:   crank.ReservationTimeout,
	}
	for {
		err := s.workerClient(p.Worker).Reserve(call, r)
		if err == nil || isPermanent(err) {
			return err
		}
		if crankstream.Sleep(call, retryInterval); call.Err() != nil {
			return err
		}
	}
}

// startTimeout bounds the retries of one start: by then the reservation has
// expired.
const startTimeout = crank.ReservationTimeout

func (s *starter) startPart(ctx context.Context, j crankstate.Job, p crankstate.Part) error {
	call, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := crank.Start{
		Command:       s.command(p),
		Profile:       j.Profile,
		Payload:       j.Payload,
		ReturnsAnswer: p.Worker == j.Attempt.Parts[0].Worker,
		Lease:         crank.TaskLease,
	}
	s.sent.Store(p.Worker, true)
	for {
		try, cancelTry := context.WithTimeout(call, startTimeout/3)
		err := s.workerClient(p.Worker).Start(try, start)
		cancelTry()
		if err == nil || isPermanent(err) {
			return err
		}
		if crankstream.Sleep(call, retryInterval); call.Err() != nil {
			return s.confirmStarted(ctx, p, err)
		}
	}
}

// confirmStarted sends a fence for a part, as the answers to its start may have been
// lost. It returns nil if the part runs or is done, and the start's error otherwise.
func (s *starter) confirmStarted(ctx context.Context, p crankstate.Part, err error) error {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	status, askErr := s.workerClient(p.Worker).Fence(call, s.command(p))
	if askErr == nil && (status.State == crank.PartRunning || status.State == crank.PartDone) {
		return nil
	}
	return err
}

// propose logs a failure; the caller tries again until the state shows the record.
func (s *starter) propose(ctx context.Context, j crankstate.Job, r crankrecord.Record) {
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	priority := crankstream.PriorityNormal
	if j.Rules.Class == crank.ClassUrgent {
		priority = crankstream.PriorityHigh
	}
	verdict, err := s.Writer.ProposeOne(call, priority, r)
	if err == nil {
		err = verdict.Err("record")
	}
	if err != nil && ctx.Err() == nil {
		s.Logger.Warn("dispatch: proposal failed", "job", s.id.Job, "attempt", s.id.Number, "error", err)
	}
}

const proposeTimeout = 3 * time.Second

// forEachPart runs a step for all parts concurrently and returns the first error
// and its worker.
func (s *starter) forEachPart(j crankstate.Job, step func(crankstate.Part) error) (worker string, first error) {
	type stepResult struct {
		worker string
		err    error
	}
	results := make(chan stepResult, len(j.Attempt.Parts))
	for _, p := range j.Attempt.Parts {
		go func() { results <- stepResult{p.Worker, step(p)} }()
	}
	for range j.Attempt.Parts {
		if r := <-results; r.err != nil && first == nil {
			worker, first = r.worker, r.err
		}
	}
	return worker, first
}

func (s *starter) command(p crankstate.Part) crank.Command {
	return crank.Command{Worker: p.Worker, Attempt: s.id, Token: s.token, Epoch: p.Epoch}
}

// isPermanent reports whether retrying a call to a worker is pointless.
func isPermanent(err error) bool {
	kind := crank.KindOf(err)
	return kind == crank.KindRefused || kind == crank.KindNotFound
}

func (s *starter) workerClient(id string) crank.Worker {
	w, _ := s.Cache.View().State.Worker(id)
	return s.Workers.Worker(w.Addr)
}
