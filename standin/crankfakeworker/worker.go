// Package crankfakeworker is a stand-in for one of the platform's workers with
// fault injection. It keeps reservations, leases and fencing tokens as a real
// worker does, but runs each part as a timer.
package crankfakeworker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config holds the settings of a Worker.
type Config struct {
	ID       string
	Epoch    string // names the incarnation
	Capacity crank.Resources
	StopTime time.Duration // from a stop to the end of the part
	Observe  func(Event)   // called for every event under the lock, may be nil
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventReserve EventKind = "reserve"
	EventStart   EventKind = "start"
	EventEnd     EventKind = "end"
)

// Event reports the reservation, start or end of a part.
type Event struct {
	At      time.Time
	Worker  string
	Kind    EventKind
	Attempt crank.AttemptID
	Tasks   int
	State   crank.PartState // final state, for EventEnd
	Payload []byte          // for EventStart
}

// Faults are the faults that a Worker injects.
type Faults struct {
	FailAll           bool // every part fails as soon as it is started
	Hang              bool // calls block without effect until the caller gives up
	DropResponse      bool // calls take effect, but return an error
	DropStartResponse bool // the same for starts only
	RefuseStarts      bool // starts are refused
	Unreachable       bool // calls fail without effect
	TruncateAnswers   bool // only the first half of an answer is sent
}

// Worker implements crank.Worker. It is safe for concurrent use.
type Worker struct {
	config   Config
	mu       sync.Mutex
	parts    map[crank.AttemptID]*part
	free     crank.Resources
	revision int64         // rises with each change
	changed  chan struct{} // closed and replaced on each change
	leaving  bool
	faults   Faults
}

type part struct {
	status      crank.PartStatus
	token       crank.Position
	fencedToken crank.Position // reservations with this token or an older one are refused
	tasks       int
	resources   crank.Resources
	revision    int64       // Worker.revision at the last change
	expiryTimer *time.Timer // end of the reservation, later of the lease
	runTimer    *time.Timer
	answer      []byte
}

// New returns an idle worker.
func New(c Config) *Worker {
	return &Worker{config: c, parts: make(map[crank.AttemptID]*part), free: c.Capacity, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetLeaving sets whether the worker is leaving. It then refuses reservations.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.bumpRevision(nil)
}

// Restart simulates a crash and a restart under a new epoch, which loses all parts.
func (w *Worker) Restart(epoch string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, p := range w.parts {
		p.stopTimers()
		if p.status.State == crank.PartRunning {
			w.observe(EventEnd, id, p, nil)
		}
	}
	w.config.Epoch = epoch
	w.parts = make(map[crank.AttemptID]*part)
	w.free = w.config.Capacity
	w.revision = 0
	w.bumpRevision(nil)
}

// Start implements crank.Worker.
func (w *Worker) Start(ctx context.Context, s crank.Start) error {
	return w.call(ctx, opStart, func() error {
		if err := w.checkEpoch(s.Command); err != nil {
			return err
		}
		p, ok := w.parts[s.Attempt]
		if !ok || s.Token < p.token {
			return staleTokenError(opStart)
		}
		switch p.status.State {
		case crank.PartRunning, crank.PartDone:
			return nil
		case crank.PartReserved:
			if w.faults.RefuseStarts {
				return crank.Fail(opStart, crank.KindRefused, "starts are refused")
			}
			w.startRun(p, s)
			return nil
		}
		return crank.Fail(opStart, crank.KindRefused, "no reservation is held")
	})
}

const opStart = "worker start"

func (w *Worker) startRun(p *part, s crank.Start) {
	spec, duration := ParsePayload(s.Payload)
	p.status.State = crank.PartRunning
	w.startLeaseTimer(p, s.Lease)
	w.bumpRevision(p)
	w.observe(EventStart, s.Attempt, p, s.Payload)
	if w.faults.FailAll {
		duration = 0
	}
	failed := spec.Fail || w.faults.FailAll
	p.runTimer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p.status.State != crank.PartRunning {
			return
		}
		if failed {
			w.endPart(p, crank.PartFailed, "the task failed")
			return
		}
		if s.ReturnsAnswer {
			p.setAnswer(Answer(s.Payload))
		}
		w.endPart(p, crank.PartDone, "")
	})
}

func (p *part) setAnswer(answer []byte) {
	sum := sha256.Sum256(answer)
	p.answer = answer
	p.status.Digest = hex.EncodeToString(sum[:])
	p.status.Size = len(answer)
	if len(answer) <= crank.MaxInlineBytes {
		p.status.Inline = answer
	}
}

// startLeaseTimer replaces the expiry timer by one for the lease.
func (w *Worker) startLeaseTimer(p *part, lease time.Duration) {
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(lease, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p.expiryTimer == timer && p.status.State == crank.PartRunning {
			w.endPart(p, crank.PartStopped, "the lease lapsed")
		}
	})
	p.expiryTimer = timer
}

// Fence implements crank.Worker.
func (w *Worker) Fence(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.call(ctx, "worker fence", func() error {
		p, err := w.fence(c)
		if err != nil {
			return err
		}
		if p.status.State == crank.PartReserved {
			w.endPart(p, crank.PartFenced, "released")
		}
		status = p.status
		return nil
	})
	return status, err
}

// fence raises the token of a part. An unknown part is created as fenced, so that
// a delayed reservation with an older token is refused.
func (w *Worker) fence(c crank.Command) (*part, error) {
	if err := w.checkEpoch(c); err != nil {
		return nil, err
	}
	p, ok := w.parts[c.Attempt]
	if !ok {
		p = &part{status: crank.PartStatus{Attempt: c.Attempt, State: crank.PartFenced}}
		w.parts[c.Attempt] = p
	}
	if c.Token < p.token {
		return nil, staleTokenError("worker fence")
	}
	p.token = c.Token
	p.fencedToken = c.Token
	return p, nil
}

// Stop implements crank.Worker.
func (w *Worker) Stop(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.call(ctx, "worker stop", func() error {
		p, err := w.fence(c)
		if err != nil {
			return err
		}
		if p.status.State == crank.PartReserved {
			w.endPart(p, crank.PartFenced, "released")
		}
		if p.status.State == crank.PartRunning {
			w.stopLater(p)
		}
		status = p.status
		return nil
	})
	return status, err
}

func (w *Worker) stopLater(p *part) {
	if w.config.StopTime == 0 {
		w.endPart(p, crank.PartStopped, "stopped")
		return
	}
	time.AfterFunc(w.config.StopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p.status.State == crank.PartRunning {
			w.endPart(p, crank.PartStopped, "stopped")
		}
	})
}

func (w *Worker) checkEpoch(c crank.Command) error {
	if err := w.checkID(c.Worker); err != nil {
		return err
	}
	if c.Epoch == w.config.Epoch {
		return nil
	}
	return crank.Fail("worker call", crank.KindNotFound, "the worker restarted")
}

// checkID refuses a call that is meant for another worker.
func (w *Worker) checkID(id string) error {
	if id == "" || id == w.config.ID {
		return nil
	}
	return crank.Fail("worker call", crank.KindUnavailable, "another worker has this address")
}

// call runs f under the lock and injects the faults around it.
func (w *Worker) call(ctx context.Context, op string, f func() error) error {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	if faults.Unreachable {
		return crank.Fail(op, crank.KindUnavailable, "the worker is out of reach")
	}
	if faults.Hang {
		<-ctx.Done()
		return crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
	w.mu.Lock()
	err := f()
	w.mu.Unlock()
	if faults.DropResponse || (faults.DropStartResponse && op == opStart) {
		return crank.Fail(op, crank.KindUnknown, "the answer was lost")
	}
	return err
}

// endPart ends a part and frees its resources.
func (w *Worker) endPart(p *part, state crank.PartState, detail string) {
	p.stopTimers()
	ran := p.status.State == crank.PartRunning
	p.fencedToken = p.token
	p.status.State = state
	p.status.Detail = detail
	w.free = w.free.Plus(p.resources)
	w.bumpRevision(p)
	if ran {
		w.observe(EventEnd, p.status.Attempt, p, nil)
	}
}

func (p *part) stopTimers() {
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	if p.runTimer != nil {
		p.runTimer.Stop()
	}
}

// bumpRevision records a change of a part, or of the worker if p is nil, and wakes
// waiting renewals.
func (w *Worker) bumpRevision(p *part) {
	w.revision++
	if p != nil {
		p.revision = w.revision
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) observe(kind EventKind, id crank.AttemptID, p *part, payload []byte) {
	if w.config.Observe == nil {
		return
	}
	w.config.Observe(Event{At: time.Now(), Worker: w.config.ID, Kind: kind, Attempt: id, Tasks: p.tasks, State: p.status.State, Payload: payload})
}

func staleTokenError(op string) error {
	return crank.Fail(op, crank.KindRefused, "a newer token was seen")
}

// Set holds workers by address. It implements crank.WorkerDialer.
type Set map[string]*Worker

// Worker implements crank.WorkerDialer. Calls to an unknown address fail.
func (s Set) Worker(addr string) crank.Worker {
	if w, ok := s[addr]; ok {
		return w
	}
	return unreachable(fmt.Sprintf("no worker at %s", addr))
}
