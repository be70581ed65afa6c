package crankplan

import "time"

// Defaults of the guarded policy.
const (
	DefaultHoldAfter  = 2 * time.Minute // wait of a blocked job before workers are held for it
	DefaultAgingBound = 8 * time.Hour   // wait after which patient work goes by submission
	MaxHolds          = 4               // jobs that workers are held for at once
	urgentLoss        = 1e6             // weight of urgent work against patient work when some of it has to stop
	moveGain          = 2               // how many times the accelerators of those that are moved a job must need
	minRunTime        = time.Second     // shortest run time that a prediction counts as
)

// Reasons that are shown to callers and operators.
const (
	reasonNeverFits = "no shape of the whole fleet can hold the job"
	reasonOverQuota = "the job is larger than the workspace's quota"
	reasonQuota     = "the workspace's quota is in use"
	reasonNoRoom    = "no domain has room for the whole gang"
	reasonHeld      = "workers are being drained for it"
	reasonDraining  = "its worker or availability zone is leaving service"
)
