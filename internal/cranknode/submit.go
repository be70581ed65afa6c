package cranknode

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// Request describes a job to submit.
type Request struct {
	Workspace  string
	Profile    string
	Key        string    // idempotency key, optional for idempotent profiles
	ValidUntil time.Time // end of the key's validity, optional for idempotent profiles
	Deadline   time.Time // zero means that of the profile
	Payload    []byte
}

// SubmitResult identifies the job of an accepted request.
type SubmitResult struct {
	Job      string // ID
	Repeated bool   // the request had been accepted before
}

// submitTimeout limits the wait for a record to be applied.
const submitTimeout = 5 * time.Second

// Submit accepts a request. An error of KindUnknown means that the request may
// have been accepted; any other error means that it was not.
func (n *Node) Submit(ctx context.Context, r Request) (SubmitResult, error) {
	s, err := n.currentState("submit")
	if err != nil {
		return SubmitResult{}, err
	}
	submission, profile, err := n.validate(s, r)
	if err != nil {
		return SubmitResult{}, err
	}
	if known, ok := s.ByKey(r.Workspace, r.Key); ok && r.Key != "" && known.Digest == submission.Digest && known.ValidUntil.Equal(submission.ValidUntil) {
		return SubmitResult{Job: known.Job, Repeated: true}, nil
	}
	workspace, _ := s.Config.Workspace(r.Workspace)
	if err := n.admission.acquire(workspace, len(n.members.View().Entries)); err != nil {
		return SubmitResult{}, err
	}
	defer n.admission.release(r.Workspace)
	priority := crankstream.PriorityNormal
	if profile.Class == crank.ClassUrgent {
		priority = crankstream.PriorityHigh
	}
	call, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	verdict, err := n.writer.ProposeOne(call, priority, crankrecord.Record{Submit: &submission})
	if err != nil {
		return SubmitResult{Job: submission.Job}, err
	}
	return SubmitResult{Job: verdict.Job, Repeated: verdict.Repeated}, verdict.Err("submit")
}

// validate checks a request against the configuration and fills in defaults.
func (n *Node) validate(s crankstate.State, r Request) (crank.Submission, crank.Profile, error) {
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
		Digest:     requestDigest(r),
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

// requestDigest returns the hash by which a repeated request is recognized.
func requestDigest(r Request) string {
	h := sha256.New()
	h.Write([]byte(r.Profile))
	h.Write([]byte{0})
	h.Write(r.Payload)
	return hex.EncodeToString(h.Sum(nil))
}

// Wait returns a job once it has ended, or as it is when the context ends or the
// node drains. Another instance may just have accepted a job that the state lacks,
// so Wait reads to the end of the log before it reports KindNotFound.
// KindUnavailable means that the state is not current.
func (n *Node) Wait(ctx context.Context, job string) (crankstate.Job, error) {
	if _, ok := n.State().Job(job); !ok {
		if err := n.sync(ctx); err != nil {
			return crankstate.Job{}, err
		}
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.waitContext, cancel)()
	v, _ := n.cache.Wait(waitCtx, func(v crankcache.View) bool {
		j, ok := v.State.Job(job)
		return !v.Stale() && (!ok || j.State == crankstate.JobEnded)
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

// sync waits until the state has reached the end of the log, up to CallTimeout. It
// ignores the cancellation of ctx.
func (n *Node) sync(ctx context.Context) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), crank.CallTimeout)
	defer cancel()
	_, err := crankstream.Sync(call, n.log, n.cache)
	return err
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, job string) error {
	if _, err := n.currentState("job cancel"); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	verdict, err := n.writer.ProposeOne(call, crankstream.PriorityHigh, crankrecord.Record{Cancel: &crankrecord.Cancel{Job: job}})
	if err != nil {
		return err
	}
	return verdict.Err("job cancel")
}

// answerAttempts is how often Answer asks the worker.
const answerAttempts = 3

// Answer returns the answer of a succeeded job, checked by size and digest. A large
// one is fetched from its worker.
func (n *Node) Answer(ctx context.Context, j crankstate.Job) ([]byte, error) {
	if j.Outcome != crank.OutcomeDone || j.Result != crankstate.ResultSucceeded {
		return nil, crank.Fail("job answer", crank.KindConflict, "the job has no answer")
	}
	if j.Answer.Size <= crank.MaxInlineBytes {
		return j.Answer.Inline, verifyAnswer(j.Answer, j.Answer.Inline)
	}
	w, ok := n.State().Worker(j.Answer.Worker)
	if !ok {
		return nil, crank.Fail("job answer", crank.KindExpired, "worker %s, which kept the answer, is gone", j.Answer.Worker)
	}
	var err error
	for range answerAttempts {
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		var data []byte
		data, err = n.Workers.Worker(w.Addr).Answer(call, crank.AnswerRequest{AttemptID: j.ID(), Worker: j.Answer.Worker})
		cancel()
		if err == nil {
			err = verifyAnswer(j.Answer, data)
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

const answerTimeout = 5 * time.Second

// verifyAnswer checks an answer against the size and digest in the log.
func verifyAnswer(a crankstate.Answer, data []byte) error {
	sum := sha256.Sum256(data)
	if len(data) != a.Size || hex.EncodeToString(sum[:]) != a.Digest {
		return crank.Fail("job answer", crank.KindUnavailable, "the answer is damaged")
	}
	return nil
}
