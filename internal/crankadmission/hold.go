// Package crankadmission decides what happens to requests that can't be stored now:
// whether an instance holds them, and when refused callers should return. It does no
// I/O and reads no clock.
package crankadmission

import "time"

// Hold limits how long an instance keeps a request that the store does not take, in
// the hope that it does before the caller gives up.
//
// Load pattern: the store is away for about as long as callers wait, and callers
// arrive all the while. Nothing can be stored until it is back, so callers that are
// refused at once use up their tries during the outage. Callers that are held are
// stored within milliseconds of its return. No caller is held for longer than a share of
// its time, since another instance may reach the store when this one does not.
type Hold struct {
	Share      float64       // of the caller's time, 0 to 1
	RetryDelay time.Duration // between attempts to store a request
}

// Request is a request to be stored.
type Request struct {
	Arrived  time.Time
	Deadline time.Time // when the caller stops waiting
}

// Decision tells what to do with a request after a failed attempt.
type Decision struct {
	Retry      bool          // after Delay; else the request is refused
	Delay      time.Duration // until the next attempt
	RetryAfter time.Duration // told to the refused caller; 0 means at once
}

// After decides about a request whose attempt certainly had no effect.
func (h Hold) After(r Request, now time.Time) Decision {
	if left := h.Until(r).Sub(now); left > 0 {
		return Decision{Retry: true, Delay: min(h.RetryDelay, left)}
	}
	return Decision{RetryAfter: h.RetryAfter(r, now)}
}

// AfterUnknown decides about a request of which an attempt may have had an effect. It
// can't be refused, and only a repeated attempt tells the caller more, so it is repeated
// as long as the caller waits.
//
// Load pattern: the store answers nothing for a second or two, or resets connections,
// and returns before callers give up.
func (h Hold) AfterUnknown(r Request, now time.Time) Decision {
	left := r.Deadline.Sub(now)
	return Decision{Retry: left > h.RetryDelay, Delay: h.RetryDelay}
}

// Until returns when the request is refused if it was not stored before.
func (h Hold) Until(r Request) time.Time {
	return r.Arrived.Add(time.Duration(h.Share * float64(r.Deadline.Sub(r.Arrived))))
}

// maxRetryAfter is the longest delay told to a caller whose time is unknown or long.
const maxRetryAfter = 1 * time.Second

// RetryAfter returns when a refused caller should return. The next instance holds it
// too, so a caller whose time runs out soon returns at once; others wait, so that
// callers of a longer outage do not all come at the same time.
func (h Hold) RetryAfter(r Request, now time.Time) time.Duration {
	if r.Deadline.Sub(now) < 2*maxRetryAfter {
		return 0
	}
	return maxRetryAfter
}
