package crank

import "time"

// Size limits of requests, jobs and answers.
const (
	MaxPayloadBytes = 64 << 10 // request body, bytes
	MaxKeyBytes     = 128      // idempotency key, bytes
	MaxInlineBytes  = 4 << 10  // answer stored in the log, bytes; larger ones stay on the worker
	MaxAnswerBytes  = 32 << 20 // answer stored on a worker, bytes
	MaxGangTasks    = 128      // tasks of one job
)

// Timeouts and periods of the start protocol and the lease protocol.
const (
	ReservationTimeout = 1 * time.Second        // a reservation not started by then expires
	TaskLease          = 15 * time.Second       // a running task stops if not renewed for this long
	LeaseMargin        = 2 * time.Second        // added before a lost worker's lease counts as expired
	RenewWait          = 5 * time.Second        // longest wait of a renewal (long polling)
	MaxStateAge        = 2 * time.Second        // of the last log read when a request is answered
	MaxListAge         = 2 * time.Second        // of the instance list when a task is started
	ListPeriod         = 500 * time.Millisecond // between polls of the instance list
	LogReadWait        = 500 * time.Millisecond // longest wait of a log read (long polling)
	CallTimeout        = 700 * time.Millisecond // one call to a worker, the log or a peer
)

// Timeouts and periods of the planner.
const (
	HeartbeatPeriod = 1 * time.Second        // between heartbeats of the holder of the term
	TermTimeout     = 3 * time.Second        // without a heartbeat; then another instance takes over the term
	DispatchTimeout = 4 * time.Second        // an attempt not started by then gets another owner
	PlanPeriod      = 250 * time.Millisecond // longest time between planning rounds
)

// Validity and retention periods.
const (
	DefaultValidity   = 24 * time.Hour               // of an idempotency key if the request states none
	MaxValidity       = 14 * 24 * time.Hour          // longest that a request may state
	WriterRetention   = 8 * 24 * time.Hour           // of an inactive log writer's sequence number
	BurnRateRetention = 6*time.Hour + 10*time.Minute // of the per-minute counts for burn rates
)
