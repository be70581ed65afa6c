package crankwitness

import (
	"context"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/cranklead"
)

// Reading of the worker topic while the holder of the term is silent.
const (
	drainHistory     = 2 * time.Second // how far the first read goes back
	drainReadPeriod  = 300 * time.Millisecond
	drainReadTimeout = 500 * time.Millisecond
	maxDrainReads    = 5 // while the holder is silent once; the next leader asks the workers itself
)

// findDrains finds workers that began to drain so late that the silent holder of the term
// has not recorded it, and has them watched.
func (w *Witness) findDrains(ctx context.Context) {
	var term int64 // whose holder was silent last
	var from crank.Offset
	reads := 0
	for ctx.Err() == nil {
		crankfeed.Sleep(ctx, checkPeriod)
		t := w.Term()
		if t.Number == 0 || !w.Silent() || cranklead.InstanceOf(t.Holder) == w.Instance {
			term = 0
			continue
		}
		if t.Number != term {
			first, ok := w.Timeline.EndBefore(drainHistory)
			if !ok {
				continue
			}
			term, from, reads = t.Number, first, 0
		}
		if reads == maxDrainReads {
			continue
		}
		reads++
		from = w.readDrains(ctx, from, t)
		crankfeed.Sleep(ctx, drainReadPeriod-checkPeriod)
	}
}

// readDrains has the draining workers watched that the topic lists from an offset on, and
// returns where to go on.
func (w *Witness) readDrains(ctx context.Context, from crank.Offset, t cranklead.Term) crank.Offset {
	callCtx, cancel := context.WithTimeout(ctx, drainReadTimeout)
	defer cancel()
	batch, err := w.Store.Read(callCtx, crank.WorkerTopic, from, 0)
	if err != nil {
		w.Logger.Info("witness: worker topic not read", "term", t.Number, "from", from, "error", err)
		return from
	}
	draining := make(map[string]crank.WorkerEntry) // by incarnation
	for _, r := range batch.Records {
		from = r.Offset + 1
		if len(r.Value) == 0 {
			continue
		}
		if e, err := w.Decode(r); err == nil && e.Draining {
			draining[crankfleet.Incarnation(e)] = e
		}
	}
	if len(draining) > 0 {
		w.post(ctx, func() { w.watchLate(ctx, draining, t) })
	}
	return from
}

// watchLate watches workers of the roster of a term that it does not show as draining.
func (w *Witness) watchLate(ctx context.Context, draining map[string]crank.WorkerEntry, t cranklead.Term) {
	state := w.Jobs.View().State
	if state.Roster.Term != t.Number || w.Term().Number != t.Number {
		return
	}
	candidates := candidatesOf(state, cranklead.InstanceOf(t.Holder))
	for incarnation, e := range draining {
		if w.watches[incarnation] != nil || !slices.Contains(state.Roster.Incarnations, incarnation) || !watches(w.Instance, candidates, incarnation) {
			continue
		}
		w.Logger.Info("witness: worker drains without a leader", "incarnation", incarnation, "term", t.Number)
		w.watch(ctx, incarnation, e, t.Number)
		w.watches[incarnation].late = true
	}
}
