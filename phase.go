package crank

// Phase is the state of a job with steps as reported to callers.
type Phase string

// Phases of jobs.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Final reports whether the job has ended.
func (p Phase) Final() bool {
	return p == PhaseCompleted || p == PhaseFailed || p == PhaseCancelled
}
