package crank

import "time"

// Planning selects how the planner decides under load.
type Planning struct {
	// Adaptive has the planner use learned run times, weigh preemption against waiting and
	// judge workers by their recent starts.
	Adaptive           bool
	CheckpointInterval time.Duration // at which tasks with checkpoints save one, 0 if it is not known
	RestoreTime        time.Duration // until a task resumes from a checkpoint, 0 if it is not known
}
