package crankadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestHoldEndsWithinTheCallersTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		begun := time.Unix(1000, 0)
		h := Hold{Share: rapid.Float64Range(0, 1).Draw(t, "share"), RetryDelay: time.Duration(rapid.IntRange(1, 500).Draw(t, "delay")) * time.Millisecond}
		r := Request{Arrived: begun, Deadline: begun.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "time")) * time.Millisecond)}
		now := begun.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "now")) * time.Millisecond)
		d := h.After(r, now)
		is.True(!h.Until(r).After(r.Deadline))
		if d.Retry {
			is.True(d.Delay > 0)
			is.True(!now.Add(d.Delay).After(h.Until(r)))
			return
		}
		is.True(!now.Before(h.Until(r)))
		is.True(d.RetryAfter >= 0)
	})
}

func TestRefusedCallerReturnsWithinItsTime(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(1000, 0)
	h := Hold{Share: 0.5, RetryDelay: 100 * time.Millisecond}
	is.Equal(h.After(Request{begun, begun.Add(3 * time.Second)}, begun.Add(1500*time.Millisecond)), Decision{})
	is.Equal(h.After(Request{begun, begun.Add(10 * time.Second)}, begun.Add(5*time.Second)), Decision{RetryAfter: time.Second})
}
