package cranknode

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// Request is a job as its caller describes it.
type Request struct {
	Workspace  string
	Profile    string
	Key        string    // idempotency key, may be empty for idempotent profiles
	ValidUntil time.Time // end of the key's validity, required for other profiles
	Deadline   time.Time // zero for the profile's own
	Payload    []byte
}

// Ticket is the answer to an accepted request.
type Ticket struct {
	Job      string
	Repeated bool // the request was accepted before
}

// submitWait bounds the wait for the log.
const submitWait = 5 * time.Second

// Submit accepts a request. An error of KindUnknown means that the request may
// have been accepted; any other error means that it was not.
func (n *Node) Submit(ctx context.Context, r Request) (Ticket, error) {
	s, err := n.fresh("submit")
	if err != nil {
		return Ticket{}, err
	}
	submission, profile, err := n.check(s, r)
	if err != nil {
		return Ticket{}, err
	}
	if known, ok := s.ByKey(r.Workspace, r.Key); ok && r.Key != "" && known.Digest == submission.Digest && known.ValidUntil.Equal(submission.ValidUntil) {
		return Ticket{Job: known.Job, Repeated: true}, nil
	}
	workspace, _ := s.Config.Workspace(r.Workspace)
	if err := n.admission.enter(workspace, len(n.members.View().Entries)); err != nil {
		return Ticket{}, err
	}
	defer n.admission.leave(r.Workspace)
	priority := crankstream.PriorityNormal
	if profile.Class == crank.ClassUrgent {
		priority = crankstream.PriorityHigh
	}
	call, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	verdict, err := n.writer.ProposeOne(call, priority, crankrecord.Record{Submit: &submission})
	if err != nil {
		return Ticket{Job: submission.Job}, err
	}
	return Ticket{Job: verdict.Job, Repeated: verdict.Repeated}, verdict.Err("submit")
}

// check judges a request on the state and completes it.
func (n *Node) check(s crankfold.State, r Request) (crank.Submission, crank.Profile, error) {
	invalid := func(format string, args ...any) (crank.Submission, crank.Profile, error) {
		return crank.Submission{}, crank.Profile{}, crank.Fail("submit", crank.KindInvalid, format, args...)
	}
	profile, ok := s.Config.Profile(r.Profile)
	now := time.Now()
	switch {
	case !ok:
		return invalid("profile %q does not exist", r.Profile)
	case len(r.Payload) > crank.MaxPayloadBytes:
		return invalid("the payload has %d bytes, the limit is %d", len(r.Payload), crank.MaxPayloadBytes)
	case len(r.Key) > crank.MaxKeyBytes:
		return invalid("the idempotency key has %d bytes, the limit is %d", len(r.Key), crank.MaxKeyBytes)
	case !profile.Idempotent && r.Key == "":
		return invalid("profile %q is not idempotent, so the request needs an idempotency key", r.Profile)
	case !profile.Idempotent && r.ValidUntil.IsZero():
		return invalid("profile %q is not idempotent, so the request needs an end of validity", r.Profile)
	case r.ValidUntil.Sub(now) > crank.MaxValidity:
		return invalid("the end of validity is more than %s ahead", crank.MaxValidity)
	}
	if _, ok := s.Config.Workspace(r.Workspace); !ok {
		return invalid("workspace %q does not exist", r.Workspace)
	}
	submission := crank.Submission{
		Job:        randomID(),
		Key:        r.Key,
		Workspace:  r.Workspace,
		Profile:    r.Profile,
		Payload:    r.Payload,
		Digest:     digest(r),
		ValidUntil: r.ValidUntil.UTC(),
		Deadline:   r.Deadline.UTC(),
	}
	if known, ok := s.ByKey(r.Workspace, r.Key); ok && r.Key != "" && r.ValidUntil.IsZero() {
		submission.ValidUntil = known.ValidUntil
	}
	if submission.ValidUntil.IsZero() {
		submission.ValidUntil = now.Add(crank.DefaultValidity).UTC()
	}
	if r.Deadline.IsZero() && profile.Deadline > 0 {
		submission.Deadline = now.Add(profile.Deadline).UTC()
	}
	return submission, profile, nil
}

// digest identifies what a request asks for.
func digest(r Request) string {
	h := sha256.New()
	h.Write([]byte(r.Profile))
	h.Write([]byte{0})
	h.Write(r.Payload)
	return hex.EncodeToString(h.Sum(nil))
}

// Wait returns a job once it has an outcome, or as it is when the context
// ends or the node drains. An error of KindUnavailable means that this instance
// can't tell. A job that the state lacks may have been accepted by another
// instance a moment ago, so the log is read once more before it is denied.
func (n *Node) Wait(ctx context.Context, job string) (crankfold.Job, error) {
	if _, ok := n.State().Job(job); !ok {
		if err := n.sync(ctx); err != nil {
			return crankfold.Job{}, err
		}
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.waits, cancel)()
	v, _ := n.box.Wait(waiting, func(v crankbox.View) bool {
		j, ok := v.State.Job(job)
		return !v.Stale() && (!ok || j.State == crankfold.JobEnded)
	})
	j, ok := v.State.Job(job)
	if ok {
		return j, nil
	}
	if v.Stale() {
		return j, crank.Fail("job wait", crank.KindUnavailable, "the instance has no current state")
	}
	return j, crank.Fail("job wait", crank.KindNotFound, "job %s does not exist", job)
}

// sync brings the state up to the end of the log.
func (n *Node) sync(ctx context.Context) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), crank.CallTimeout)
	defer cancel()
	_, err := crankstream.Sync(call, n.log, n.box)
	return err
}

// Cancel ends a job.
func (n *Node) Cancel(ctx context.Context, job string) error {
	if _, err := n.fresh("job cancel"); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	verdict, err := n.writer.ProposeOne(call, crankstream.PriorityHigh, crankrecord.Record{Cancel: &crankrecord.Cancel{Job: job}})
	if err != nil {
		return err
	}
	return verdict.Err("job cancel")
}

// answerTries bounds the fetches of one answer from its worker.
const answerTries = 3

// Answer returns the whole answer of a job that is done. Its digest is that
// which the log has.
func (n *Node) Answer(ctx context.Context, j crankfold.Job) ([]byte, error) {
	if j.Outcome != crank.OutcomeDone || j.Result != crankfold.ResultSucceeded {
		return nil, crank.Fail("job answer", crank.KindConflict, "the job has no answer")
	}
	if j.Answer.Size <= crank.MaxInlineBytes {
		return j.Answer.Inline, verify(j.Answer, j.Answer.Inline)
	}
	w, ok := n.State().Worker(j.Answer.Worker)
	if !ok {
		return nil, crank.Fail("job answer", crank.KindExpired, "worker %s, which kept the answer, is gone", j.Answer.Worker)
	}
	var err error
	for range answerTries {
		call, cancel := context.WithTimeout(ctx, answerWait)
		var data []byte
		data, err = n.Workers.Worker(w.Addr).Answer(call, j.ID())
		cancel()
		if err == nil {
			err = verify(j.Answer, data)
		}
		if err == nil {
			return data, nil
		}
		if crank.KindOf(err) == crank.KindNotFound {
			return nil, crank.Fail("job answer", crank.KindExpired, "worker %s no longer keeps the answer", j.Answer.Worker)
		}
	}
	return nil, crank.Wrap("job answer", crank.KindUnavailable, err)
}

const answerWait = 5 * time.Second

// verify checks an answer against the size and the digest in the log.
func verify(a crankfold.Answer, data []byte) error {
	sum := sha256.Sum256(data)
	if len(data) != a.Size || hex.EncodeToString(sum[:]) != a.Digest {
		return crank.Fail("job answer", crank.KindUnavailable, "the answer is damaged")
	}
	return nil
}
