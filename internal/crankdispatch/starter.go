package crankdispatch

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// starter starts one attempt under one token.
type starter struct {
	Config
	id      crank.AttemptID
	token   crank.Position
	sent    sync.Map // identity of each worker that a start was sent to
	reason  string   // why the start failed
	culprit string   // worker that was the cause, if one was
}

// run works on the attempt until it is started, over, or owned by another.
func (s *starter) run(stop context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	defer context.AfterFunc(stop, func() { time.AfterFunc(finishWait, cancel) })()
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
		s.settle(ctx)
	}
}

// settle waits a moment for the state to show what was recorded.
func (s *starter) settle(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, retryPeriod)
	defer cancel()
	_, _ = s.Box.Wait(call, func(v viewOf) bool {
		j, ok := s.in(v.State)
		return !ok || j.Attempt.Started
	})
}

// current returns the job while the attempt is owned under the token.
func (s *starter) current() (crankfold.Job, bool) { return s.in(s.Box.View().State) }

func (s *starter) in(state crankfold.State) (crankfold.Job, bool) {
	j, ok := state.Job(s.id.Job)
	return j, ok && j.ID() == s.id && j.Holds() && j.Attempt.Token == s.token
}

// start takes the steps of a start and returns why it failed, or "".
func (s *starter) start(ctx context.Context, j crankfold.Job) string {
	if err := s.stopEvicted(ctx, j); err != nil {
		return "an evicted attempt did not stop in time"
	}
	if worker, err := s.each(j, func(p crankfold.Part) error { return s.reserve(ctx, j, p) }); err != nil {
		s.culprit = worker
		return "a worker could not be reserved: " + message(err)
	}
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	view, err := crankstream.Sync(call, s.Log, s.Box)
	cancel()
	if err != nil {
		return "the log could not be read"
	}
	if reason := s.check(view.State, j); reason != "" {
		return reason
	}
	if worker, err := s.each(j, func(p crankfold.Part) error { return s.startPart(ctx, j, p) }); err != nil {
		s.culprit = worker
		return "a part could not be started: " + message(err)
	}
	s.record(ctx, j, crankrecord.Record{Started: &crankrecord.Started{Attempt: s.id, Token: s.token}})
	return ""
}

// check judges the state that was read after the last reservation.
func (s *starter) check(state crankfold.State, j crankfold.Job) string {
	now, ok := s.in(state)
	if !ok || now.Attempt.Stopping {
		return "the attempt is over"
	}
	members := s.Members()
	if time.Since(members.Fresh) > crank.ListFreshness {
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

// stopWait bounds the wait for evicted attempts.
const stopWait = 3 * time.Second

// stopEvicted stops evicted attempts at the workers of this attempt.
func (s *starter) stopEvicted(ctx context.Context, j crankfold.Job) error {
	call, cancel := context.WithTimeout(ctx, stopWait)
	defer cancel()
	for _, id := range j.Attempt.Evicts {
		victim, ok := s.Box.View().State.Job(id.Job)
		if !ok || victim.ID() != id {
			continue
		}
		for _, p := range victim.Attempt.Parts {
			if j.PartAt(p.Worker) < 0 || p.Over() {
				continue
			}
			command := crank.Command{Attempt: id, Token: victim.Attempt.Token, Epoch: p.Epoch}
			_, err := s.stopUntilEnded(call, p.Worker, command)
			if err != nil && crank.KindOf(err) != crank.KindNotFound {
				return err
			}
		}
	}
	return nil
}

// stopPoll is the time between looks at a part that is being stopped.
const stopPoll = 20 * time.Millisecond

func (s *starter) stopUntilEnded(ctx context.Context, worker string, c crank.Command) (crank.PartStatus, error) {
	for {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		status, err := s.worker(worker).Stop(call, c)
		cancel()
		if err == nil && status.State.Ended() {
			return status, nil
		}
		if err != nil && final(err) {
			return status, err
		}
		if crankstream.Pause(ctx, stopPoll); ctx.Err() != nil {
			return status, crank.Wrap("part stop", crank.KindUnknown, ctx.Err())
		}
	}
}

// reserveWait bounds the tries of one reservation, reservePoll is between them.
const (
	reserveWait = 600 * time.Millisecond
	reservePoll = 50 * time.Millisecond
)

func (s *starter) reserve(ctx context.Context, j crankfold.Job, p crankfold.Part) error {
	call, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	r := crank.Reservation{
		Command:   s.command(p),
		Tasks:     p.Tasks,
		Resources: j.Rules.Shape.PerTask.Times(p.Tasks),
		Lapse:     crank.ReservationLapse,
	}
	for {
		err := s.worker(p.Worker).Reserve(call, r)
		if err == nil || final(err) {
			return err
		}
		if crankstream.Pause(call, reservePoll); call.Err() != nil {
			return err
		}
	}
}

// startWait bounds the tries of one start: by then the reservation lapsed.
const startWait = crank.ReservationLapse

func (s *starter) startPart(ctx context.Context, j crankfold.Job, p crankfold.Part) error {
	call, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	start := crank.Start{
		Command: s.command(p),
		Profile: j.Profile,
		Payload: j.Payload,
		Lead:    p.Worker == j.Attempt.Parts[0].Worker,
		Lease:   crank.TaskLease,
	}
	s.sent.Store(p.Worker, true)
	for {
		once, stop := context.WithTimeout(call, startWait/3)
		err := s.worker(p.Worker).Start(once, start)
		stop()
		if err == nil || final(err) {
			return err
		}
		if crankstream.Pause(call, reservePoll); call.Err() != nil {
			return s.startedAfterAll(ctx, p, err)
		}
	}
}

// startedAfterAll asks a worker whose answers to a start were lost whether the
// part runs, and returns the error if it does not.
func (s *starter) startedAfterAll(ctx context.Context, p crankfold.Part, err error) error {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	status, askErr := s.worker(p.Worker).Fence(call, s.command(p))
	if askErr == nil && (status.State == crank.PartRunning || status.State == crank.PartDone) {
		return nil
	}
	return err
}

// record proposes a record and logs a failure; the caller tries again while
// the state does not show it.
func (s *starter) record(ctx context.Context, j crankfold.Job, r crankrecord.Record) {
	call, cancel := context.WithTimeout(ctx, recordWait)
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
		s.Logger.Warn("dispatch: record failed", "job", s.id.Job, "attempt", s.id.Number, "error", err)
	}
}

const recordWait = 3 * time.Second

// each runs a step for every part at once and returns the first error with the
// worker that gave it.
func (s *starter) each(j crankfold.Job, step func(crankfold.Part) error) (worker string, first error) {
	type outcome struct {
		worker string
		err    error
	}
	outcomes := make(chan outcome, len(j.Attempt.Parts))
	for _, p := range j.Attempt.Parts {
		go func() { outcomes <- outcome{p.Worker, step(p)} }()
	}
	for range j.Attempt.Parts {
		if o := <-outcomes; o.err != nil && first == nil {
			worker, first = o.worker, o.err
		}
	}
	return worker, first
}

// command names the attempt's part at a worker.
func (s *starter) command(p crankfold.Part) crank.Command {
	return crank.Command{Attempt: s.id, Token: s.token, Epoch: p.Epoch}
}

// final reports whether a worker's refusal will not change.
func final(err error) bool {
	kind := crank.KindOf(err)
	return kind == crank.KindRefused || kind == crank.KindNotFound
}

func (s *starter) worker(id string) crank.Worker {
	w, _ := s.Box.View().State.Worker(id)
	return s.Workers.Worker(w.Addr)
}
