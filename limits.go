package crank

import "time"

// Size limits of requests, jobs and answers.
const (
	MaxPayloadBytes = 64 << 10 // request body, bytes
	MaxKeyBytes     = 128      // idempotency key, bytes
	MaxInlineBytes  = 4 << 10  // largest answer stored in the log, bytes; larger ones stay on the worker
	MaxAnswerBytes  = 32 << 20 // largest answer stored on a worker, bytes
	MaxGangTasks    = 128      // tasks of one job
)

// Timeouts and periods of the start protocol and the lease protocol.
const (
	ReservationTimeout = 1 * time.Second        // a reservation that is not started by then expires
	TaskLease          = 15 * time.Second       // a running task stops if not renewed for this long
	LeaseMargin        = 2 * time.Second        // safety margin before a lost worker's leases count as expired
	RenewWait          = 5 * time.Second        // how long a renewal waits for changes (long polling)
	MaxStateAge        = 2 * time.Second        // maximum age of the last log read when a request is answered
	MaxListAge         = 2 * time.Second        // maximum age of the instance list when a task is started
	ListPeriod         = 500 * time.Millisecond // between polls of the instance list
	LogReadWait        = 500 * time.Millisecond // how long a log read waits for entries (long polling)
	CallTimeout        = 700 * time.Millisecond // for one call to a worker, the log or a peer
)

// Timeouts and periods of the planner.
const (
	HeartbeatPeriod = 1 * time.Second        // between heartbeats of the term holder
	TermTimeout     = 3 * time.Second        // time without a heartbeat of the term holder after which another instance takes over
	DispatchTimeout = 4 * time.Second        // an attempt that is not started by then is reassigned to another instance
	PlanPeriod      = 250 * time.Millisecond // maximum time between planning rounds
)

// Validity and retention periods.
const (
	DefaultValidity   = 24 * time.Hour               // of an idempotency key whose request does not state one
	MaxValidity       = 14 * 24 * time.Hour          // maximum that a request may ask for
	WriterRetention   = 8 * 24 * time.Hour           // of an inactive log writer's sequence number
	BurnRateRetention = 6*time.Hour + 10*time.Minute // of the per-minute counts for burn rates
)
