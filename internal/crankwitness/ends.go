package crankwitness

import (
	"hash/fnv"
	"io"
	"slices"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
)

// ends are the runs at one incarnation that ended as done and that no leader has
// acknowledged. It is immutable.
type ends struct {
	listed []crankjobs.DoneRun // in the last report
	stored []crankjobs.DoneRun // in the newest record
}

// WithReport returns the ends after a report that acknowledged nothing.
func (e ends) WithReport(r crank.RenewReport) ends {
	e.listed = nil
	for _, run := range r.Ended {
		if run.Kind == crank.EndDone {
			e.listed = append(e.listed, crankjobs.NewDoneRun(run))
		}
	}
	return e
}

// WithStored returns the ends after a record of them was stored.
func (e ends) WithStored(done []crankjobs.DoneRun) ends {
	e.stored = done
	return e
}

// Unstored reports whether an end is listed that is not stored.
func (e ends) Unstored() bool {
	return slices.ContainsFunc(e.listed, func(d crankjobs.DoneRun) bool { return !slices.Contains(e.stored, d) })
}

// witnesses is how many instances watch a worker: the leader may be lost together with
// one of them.
const witnesses = 2

// watches reports whether an instance is one of those among the candidates that watch a
// worker: those with the highest hashes.
func watches(instance string, candidates []string, incarnation string) bool {
	own, higher := rankOf(instance, incarnation), 0
	for _, c := range candidates {
		if c != instance && rankOf(c, incarnation) > own {
			higher++
		}
	}
	return higher < witnesses
}

func rankOf(instance, incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, incarnation+"\x00"+instance) // never fails
	sum := h.Sum64()
	// FNV-1a hardly mixes the last bytes into the high bits.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
