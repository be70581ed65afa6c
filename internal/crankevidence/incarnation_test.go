package crankevidence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestOnlyEvidenceEndsAnIncarnation(t *testing.T) {
	granted := Lease{Granted: epoch.Add(time.Second)}
	for _, v := range []struct {
		name      string
		known     Incarnation
		at        time.Duration
		confirmed bool
		want      Evidence
	}{
		{"answers", Incarnation{StartTimeMs: 5, Answers: true, Readable: true, Lease: granted}, 0, true, None},
		{"answers, lease not extended", Incarnation{StartTimeMs: 5, Answers: true, Readable: true, Lease: granted}, 2 * time.Second, true, None},
		{"no answer", Incarnation{StartTimeMs: 5, Readable: true, Lease: granted}, 0, true, None},
		{"no answer at the end of its lease", Incarnation{StartTimeMs: 5, Readable: true, Lease: granted}, time.Second, true, None},
		{"no answer after its lease", Incarnation{StartTimeMs: 5, Readable: true, Lease: granted}, 1001 * time.Millisecond, true, LeaseOver},
		{"no answer after its lease, term not confirmed", Incarnation{StartTimeMs: 5, Readable: true, Lease: granted}, 2 * time.Second, false, None},
		{"lease of an earlier term", Incarnation{StartTimeMs: 5, Lease: Lease{Granted: epoch, Former: epoch.Add(3 * time.Second)}}, 2 * time.Second, true, None},
		{"unreadable after its lease", Incarnation{StartTimeMs: 5, Answers: true, Lease: granted}, 2 * time.Second, true, LeaseOver},
		{"departed", Incarnation{StartTimeMs: 5, Readable: true, Departed: true, Lease: granted}, 0, false, Departed},
		{"departed but answers", Incarnation{StartTimeMs: 5, Answers: true, Readable: true, Departed: true, Lease: granted}, 0, true, None},
		{"departed but answers what can't be read", Incarnation{StartTimeMs: 5, Answers: true, Departed: true, Lease: granted}, 0, true, None},
		{"later incarnation", Incarnation{StartTimeMs: 5, Answers: true, Readable: true, Lease: granted}.WithOther(6), 0, false, Restarted},
		{"later incarnation listed, answers", Incarnation{StartTimeMs: 5, Answers: true, Readable: true, Lease: granted}.WithListed(6), 0, true, None},
		{"later incarnation listed, one renewal failed", Incarnation{StartTimeMs: 5, Lease: granted}.WithListed(6), 0, true, None},
		{"later incarnation listed, silent", Incarnation{StartTimeMs: 5, Silent: true, Lease: granted}.WithListed(6), 0, false, Restarted},
		{"earlier incarnation listed, silent", Incarnation{StartTimeMs: 5, Silent: true, Lease: granted}.WithListed(4), 0, true, None},
		{"earlier incarnation", Incarnation{StartTimeMs: 5, Readable: true, Lease: granted}.WithOther(4), 0, true, None},
		{"later, then earlier incarnation", Incarnation{StartTimeMs: 5, Lease: granted}.WithOther(6).WithOther(4), 0, true, Restarted},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			verdict := v.known.Judge(epoch.Add(v.at), v.confirmed)
			is.Equal(verdict.Evidence(), v.want)
			is.Equal(verdict.Over(), v.want != None)
			is.Equal(verdict.LeaseLeft(), v.known.Lease.Left(epoch.Add(v.at)))
		})
	}
}

// The end that is reckoned with must come 300 ms after that on the slowest clock.
func TestDrawnLeaseEndsAreLateEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(980, 1020).Draw(t, "rate")) / 1000
		d := time.Duration(rapid.IntRange(1, 10000).Draw(t, "lease")) * time.Millisecond
		age := time.Duration(rapid.IntRange(0, 20000).Draw(t, "age")) * time.Millisecond
		ends := time.Duration(float64(age+d)/rate) - age // in time from now on
		if end := LeaseEnd(epoch, d, age).Sub(epoch); end-ends < 300*time.Millisecond {
			t.Fatalf("%s at a clock of rate %.2f read %s ago ends after %s, reckoned with %s", d, rate, age, ends, end)
		}
	})
}

// answer is what becomes of one renewal.
type answer string

// Ways in which a renewal is answered, or not.
const (
	answered    answer = "answered"
	requestGone answer = "request is lost"
	answerGone  answer = "answer is lost"
	late        answer = "takes effect late"
	refused     answer = "connection is refused"
	elsewhere   answer = "another worker answers"
	earlier     answer = "an earlier incarnation answers"
)

// life is a worker with one run that does not end by itself, renewed by a planner.
type life struct {
	rate  float64       // of the worker's clock
	ends  time.Duration // its process, 0 for never
	how   Evidence      // what will show the end: Restarted, Departed or LeaseOver
	lease time.Duration // end of the lease, in time since the epoch
}

const (
	maxLease   = 10 * time.Second
	lifeLength = 60 * time.Second
	runStart   = time.Second
)

func (l *life) clock(at time.Duration) time.Duration { return time.Duration(float64(at) * l.rate) }

// extend extends the lease to a time on the worker's clock, as of a time.
func (l *life) extend(at, deadline time.Duration) {
	if until := min(deadline, l.clock(at)+maxLease); until > l.clock(l.lease) && l.lives(at) {
		l.lease = time.Duration(float64(until) / l.rate)
	}
}

func (l *life) lives(at time.Duration) bool { return l.ends == 0 || at < l.ends }

// works reports whether the run is at work.
func (l *life) works(at time.Duration) bool { return l.lives(at) && at < l.lease }

// A run that works is never freed, and one that has ended is freed within a lease and the time in
// which two renewals are found to fail, however the network treats the renewals.
func TestDrawnLivesAreJudgedRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &life{rate: float64(rapid.IntRange(980, 1020).Draw(t, "rate")) / 1000, lease: runStart + maxLease/2}
		if rapid.Bool().Draw(t, "ends") {
			l.ends = time.Duration(rapid.IntRange(2000, 40000).Draw(t, "at")) * time.Millisecond
			l.how = rapid.SampledFrom([]Evidence{Restarted, Departed, LeaseOver}).Draw(t, "how")
		}
		known := Incarnation{StartTimeMs: 5, Readable: true, Lease: Lease{Former: epoch.Add(LeaseEnd(epoch, runStart+maxLease/2, 0).Sub(epoch))}}
		var readAt, clock time.Duration // newest reading of the worker's clock
		var lateEffects []func(at time.Duration)
		for at := runStart; at < lifeLength; {
			for _, f := range lateEffects {
				f(at)
			}
			deadline := time.Duration(0)
			if readAt > 0 && known.Answers {
				d, age := min(maxLease, 8*time.Second), at-readAt
				deadline = clock + age + d
				if end := LeaseEnd(epoch.Add(at), d, age); end.After(known.Lease.Granted) {
					known.Lease.Granted = end
				}
			}
			way := rapid.SampledFrom([]answer{answered, answered, answered, requestGone, answerGone, late, refused, elsewhere, earlier}).Draw(t, "way")
			took := time.Duration(rapid.IntRange(1, 1500).Draw(t, "took")) * time.Millisecond
			if !l.lives(at) && way == answered {
				way = refused
				if l.how == Restarted {
					known = known.WithOther(6)
				}
			}
			switch way {
			case answered, answerGone:
				l.extend(at, deadline)
			case late:
				effectAt := at + took + time.Second
				lateEffects = append(lateEffects, func(at time.Duration) {
					if at >= effectAt {
						l.extend(effectAt, deadline)
					}
				})
			case earlier:
				known = known.WithOther(4)
			}
			known.Answers = way == answered
			if way == answered {
				if readAt == 0 {
					known.Lease.Granted, known.Lease.Former = LeaseEnd(epoch.Add(at+took), maxLease, 0), time.Time{}
				}
				readAt, clock = at+took, l.clock(at)
			}
			known.Departed = l.how == Departed && !l.lives(at)
			at += took
			now := epoch.Add(at)
			if v := known.Judge(now, true); v.Over() {
				if l.works(at) {
					t.Fatalf("freed by %q at %s while it works until %s", v.Evidence(), at, l.lease)
				}
				return
			}
			if bound := l.ends + time.Duration(1.05*float64(maxLease)) + 5*time.Second; l.ends > 0 && at > bound {
				t.Fatalf("not freed at %s, though its worker ended at %s", at, l.ends)
			}
		}
	})
}
