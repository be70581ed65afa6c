package cranksched

import (
	"strings"

	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankjobs"
)

// roster is the set of worker incarnations that may have been sent orders. A worker
// gets its first order once its incarnation is stored.
type roster struct {
	addrs    map[string]string // by incarnation
	numbers  map[string]int    // likewise; places of tasks refer to them
	named    map[int]string    // incarnations by number
	stored   map[string]bool   // incarnations in the stored roster
	numbered map[string]bool   // incarnations in the stored roster with their number
	limited  map[string]bool   // incarnations whose lease a roster limits that is stored, or may be
	stale    bool              // the stored roster must be rewritten
	newest   int               // number given last
}

func newRoster() roster {
	return roster{addrs: make(map[string]string), numbers: make(map[string]int), named: make(map[int]string), stored: make(map[string]bool), numbered: make(map[string]bool), limited: make(map[string]bool)}
}

// load adds the incarnations of a stored roster. One without a number, which an earlier
// version has stored, gets no orders until its number is stored.
func (r *roster) load(stored crankjobs.Roster) {
	for i, incarnation := range stored.Incarnations {
		r.addrs[incarnation], r.stored[incarnation] = stored.Addr(i), true
		if number := stored.Number(i); number > 0 {
			r.numbers[incarnation], r.named[number], r.numbered[incarnation] = number, incarnation, true
			r.newest = max(r.newest, number)
		}
	}
	for incarnation := range stored.LeaseLeft {
		r.limited[incarnation] = true
	}
}

// add adds the incarnation of a worker that has answered.
func (r *roster) add(w *worker) {
	if !r.numbered[w.incarnation] || r.addrs[w.incarnation] != w.entry.Addr {
		r.addrs[w.incarnation], r.stale = w.entry.Addr, true
	}
	if r.numbers[w.incarnation] == 0 {
		r.newest++
		r.numbers[w.incarnation], r.named[r.newest] = r.newest, w.incarnation
	}
}

// remove removes an incarnation whose runs have all ended.
func (r *roster) remove(incarnation string) {
	if _, ok := r.addrs[incarnation]; ok {
		delete(r.addrs, incarnation)
		delete(r.named, r.numbers[incarnation])
		delete(r.numbers, incarnation)
		delete(r.stored, incarnation)
		delete(r.numbered, incarnation)
		r.stale = true
	}
}

// formerOf returns the other incarnations of a worker.
func (r *roster) formerOf(w *worker) []string {
	var former []string
	for incarnation := range r.addrs {
		if strings.HasPrefix(incarnation, w.entry.ID) && incarnation != w.incarnation {
			if id, _, ok := crankfleet.ParseIncarnation(incarnation); ok && id == w.entry.ID {
				former = append(former, incarnation)
			}
		}
	}
	return former
}

// record returns the roster to store with at most so many incarnations, those first that
// are stored already.
func (r *roster) record(term int64, most int) crankjobs.Roster {
	roster := crankjobs.Roster{Term: term}
	for _, stored := range []bool{true, false} {
		for incarnation, addr := range r.addrs {
			if r.stored[incarnation] == stored && len(roster.Incarnations) < most {
				roster.Incarnations = append(roster.Incarnations, incarnation)
				roster.Addrs = append(roster.Addrs, addr)
				roster.Numbers = append(roster.Numbers, r.numbers[incarnation])
			}
		}
	}
	return roster
}

// confirm notes that a record was stored.
func (r *roster) confirm(stored crankjobs.Roster) {
	for i, incarnation := range stored.Incarnations {
		if _, ok := r.addrs[incarnation]; ok {
			r.stored[incarnation] = true
			r.numbered[incarnation] = stored.Number(i) > 0 && stored.Number(i) == r.numbers[incarnation]
		}
	}
	clear(r.limited)
	for incarnation := range stored.LeaseLeft {
		r.limited[incarnation] = true
	}
}
