package crankplan

import "time"

// Defaults and limits of GuaranteePolicy.
const (
	DefaultHoldAfter     = 2 * time.Minute // wait of a blocked job before workers are held for it
	DefaultAgingBound    = 8 * time.Hour   // wait after which patient jobs are ordered by submission
	MaxHolds             = 4               // most jobs that workers are held for at once
	urgentEvictionWeight = 1e6             // on the eviction cost of urgent attempts, so that patient ones go first
	minMoveRatio         = 2               // a job needs at least this many times the accelerators of the attempts moved for it
	minRunTime           = time.Second     // lower bound of predicted run times
)

// Reasons for refusing, delaying or evicting, shown to callers and operators.
const (
	reasonNeverFits  = "no shape of the whole fleet can hold the job"
	reasonOverQuota  = "the job is larger than the workspace's quota"
	reasonQuota      = "the workspace's quota is in use"
	reasonNoCapacity = "no domain has room for the whole gang"
	reasonHeld       = "workers are being drained for it"
	reasonDraining   = "its worker or availability zone is leaving service"
)
