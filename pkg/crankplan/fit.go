package crankplan

import (
	"slices"

	crank "cranberrycrank"
)

// search is one look for a place.
type search struct {
	fleet *fleet
	view  view
	shape crank.Shape
	job   string                // workers held for another job are passed over
	open  func(worker int) bool // held workers that may be used all the same, may be nil
	avoid []string              // workers that are not used
	only  map[string]bool       // the only workers to use, nil for all
}

var spans = []crank.Span{crank.SpanWorker, crank.SpanRack, crank.SpanZone, crank.SpanAny}

// best returns the parts of the tightest place in the narrowest domain, or nil.
func (s *search) best() []crank.Part {
	for _, span := range spans {
		if parts := s.bestIn(span); parts != nil {
			return parts
		}
		if span == s.shape.Span {
			return nil
		}
	}
	return nil
}

func (s *search) bestIn(span crank.Span) []crank.Part {
	if span == crank.SpanWorker {
		return s.bestWorker()
	}
	if s.shape.Tasks == 1 {
		return nil
	}
	return s.bestDomain(s.fleet.domains(span))
}

// bestWorker finds the worker with the fewest accelerators left over.
func (s *search) bestWorker() []crank.Part {
	if s.fleet.scores != nil {
		return s.fleet.scores.bestWorker(s)
	}
	total := s.shape.Total()
	best, least := -1, 0
	for i := range s.fleet.workers {
		have := s.fleet.avail(s.view, i)
		if !have.Covers(total) || !s.usable(i) {
			continue
		}
		rest := have.Accelerators - total.Accelerators
		if best < 0 || rest < least {
			best, least = i, rest
		}
		if rest == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	return []crank.Part{{Worker: s.fleet.workers[best].ID, Tasks: s.shape.Tasks}}
}

// bestDomain finds the domain with the fewest accelerators left over.
func (s *search) bestDomain(domains []domain) []crank.Part {
	if s.fleet.scores != nil {
		return s.fleet.scores.bestDomain(s, domains)
	}
	need := s.shape.Total().Accelerators
	best, least := -1, 0
	for n, d := range domains {
		tasks, accelerators := s.room(d)
		if tasks < s.shape.Tasks {
			continue
		}
		if rest := accelerators - need; best < 0 || rest < least {
			best, least = n, rest
		}
	}
	if best < 0 {
		return nil
	}
	return s.fill(domains[best])
}

// room returns how many tasks a domain can hold and its accelerators that a
// task could use.
func (s *search) room(d domain) (tasks, accelerators int) {
	for i := d.from; i < d.to; i++ {
		fits := s.fits(i)
		if fits == 0 {
			continue
		}
		tasks += fits
		accelerators += s.fleet.avail(s.view, i).Accelerators
	}
	return tasks, accelerators
}

func (s *search) fits(i int) int {
	if !s.usable(i) {
		return 0
	}
	return s.fleet.avail(s.view, i).Fits(s.shape.PerTask, s.shape.Tasks)
}

func (s *search) usable(i int) bool {
	if held := s.fleet.closed[i]; held != "" && held != s.job && (s.open == nil || !s.open(i)) {
		return false
	}
	if len(s.avoid) > 0 && slices.Contains(s.avoid, s.fleet.workers[i].ID) {
		return false
	}
	return s.only == nil || s.only[s.fleet.workers[i].ID]
}

// fill spreads the gang over few workers of a domain: the roomiest first, and
// for the rest the tightest that holds it all.
func (s *search) fill(d domain) []crank.Part {
	type candidate struct{ worker, fits int }
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		if fits := s.fits(i); fits > 0 {
			candidates = append(candidates, candidate{i, fits})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return b.fits - a.fits })
	var parts []crank.Part
	rest := s.shape.Tasks
	for n, c := range candidates {
		if c.fits >= rest {
			last := c
			for _, other := range candidates[n+1:] {
				if other.fits >= rest {
					last = other
				}
			}
			return append(parts, crank.Part{Worker: s.fleet.workers[last.worker].ID, Tasks: rest})
		}
		parts = append(parts, crank.Part{Worker: s.fleet.workers[c.worker].ID, Tasks: c.fits})
		rest -= c.fits
	}
	return nil
}

// first returns the parts of the first place in the order of the workers.
func (s *search) first() []crank.Part {
	for _, span := range spans {
		domains := s.fleet.domains(span)
		if span == crank.SpanWorker {
			domains = s.fleet.singles()
		}
		for _, d := range domains {
			if tasks, _ := s.room(d); tasks >= s.shape.Tasks {
				return s.fillInOrder(d)
			}
		}
		if span == s.shape.Span {
			return nil
		}
	}
	return nil
}

func (f *fleet) singles() []domain {
	domains := make([]domain, len(f.workers))
	for i := range f.workers {
		domains[i] = domain{i, i + 1}
	}
	return domains
}

func (s *search) fillInOrder(d domain) []crank.Part {
	var parts []crank.Part
	rest := s.shape.Tasks
	for i := d.from; i < d.to && rest > 0; i++ {
		if fits := min(rest, s.fits(i)); fits > 0 {
			parts = append(parts, crank.Part{Worker: s.fleet.workers[i].ID, Tasks: fits})
			rest -= fits
		}
	}
	return parts
}
