package crankfakerig

import (
	"context"
	"time"

	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakereport"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

// Instances returns the instances of a site that was started.
func (r *Rig) Instances() []*crankfakeinstance.Instance { return r.instances }

// Replace replaces the process of an instance by one of another binary.
func (r *Rig) Replace(i *crankfakeinstance.Instance, binary string) error {
	r.mu.Lock()
	r.disturbed++
	r.mu.Unlock()
	err := i.Replace(binary)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed--
	r.disturbedAt = time.Now()
	return err
}

// Submit submits a new job to an instance, once.
func (r *Rig) Submit(ctx context.Context, j crankfakesite.Job, i *crankfakeinstance.Instance) crankfakewatch.Answer {
	r.watch.Submitting(j)
	a := r.post(ctx, j, i, r.Site.Bounds.AnswerTime)
	r.watch.Answered(j.ID, a)
	return a
}

// State returns the state of a job as an instance reports it, empty without an answer.
func (r *Rig) State(ctx context.Context, j crankfakesite.Job, i *crankfakeinstance.Instance) string {
	return r.askAt(ctx, j, i)
}

// Accepted returns the accepted jobs that nobody has cancelled.
func (r *Rig) Accepted() []crankfakesite.Job { return r.watch.Accepted() }

// Report returns what the run has shown so far.
func (r *Rig) Report() crankfakereport.Report { return r.report(time.Now()) }
