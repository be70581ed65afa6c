package crank

import "time"

// Limits on what callers may send.
const (
	MaxPayloadBytes = 64 << 10 // request body, bytes
	MaxKeyBytes     = 128      // idempotency key, bytes
	MaxInlineBytes  = 4 << 10  // answer kept in the log, bytes
	MaxAnswerBytes  = 32 << 20 // answer kept at a worker, bytes
	MaxGangTasks    = 128      // tasks of one job
)

// Times of the start protocol and of the lease protocol.
const (
	ReservationLapse = 1 * time.Second        // a reservation that is not started lapses
	TaskLease        = 15 * time.Second       // a running task stops without renewal
	LeaseMargin      = 2 * time.Second        // added before a lost worker's lease counts as over
	RenewWait        = 5 * time.Second        // longest wait of one renewal
	StateFreshness   = 2 * time.Second        // oldest log read on which a request is judged
	ListFreshness    = 2 * time.Second        // oldest list read on which a task is started
	ListPeriod       = 500 * time.Millisecond // between reads of the instance list
	LogReadWait      = 500 * time.Millisecond // longest wait of one log read
	CallTimeout      = 700 * time.Millisecond // one call to a worker, the log or a peer
)

// Times of the planner.
const (
	PulsePeriod     = 1 * time.Second        // between pulses of the term holder
	TermTimeout     = 3 * time.Second        // silence after which the term is taken over
	DispatchTimeout = 4 * time.Second        // an attempt not started by then gets another owner
	PlanPeriod      = 250 * time.Millisecond // longest time between planning rounds
)

// Times for which results are kept.
const (
	DefaultValidity = 24 * time.Hour      // identity of a request that states no end of validity
	MaxValidity     = 14 * 24 * time.Hour // longest validity that a request may state
	WriterRetention = 8 * 24 * time.Hour  // sequence number of a silent log writer
	BurnRetention   = 6*time.Hour + 10*time.Minute
)
