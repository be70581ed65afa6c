package crankplan

import (
	"slices"

	crank "cranberrycrank"
)

// search looks for the workers of one gang.
type search struct {
	fleet     *fleet
	view      view
	shape     crank.Shape
	job       string                // workers held for other jobs are skipped
	allowHeld func(worker int) bool // held workers that may be used all the same; nil for none
	avoid     []string              // worker IDs to skip
	only      map[string]bool       // worker IDs to consider, nil for all
}

// spans lists the domain widths, narrowest first.
var spans = []crank.Span{crank.SpanWorker, crank.SpanRack, crank.SpanZone, crank.SpanAny}

// findBest returns the best-fitting place in the narrowest domain that has one, or
// nil.
func (s *search) findBest() []crank.Part {
	for _, span := range spans {
		if parts := s.findBestIn(span); parts != nil {
			return parts
		}
		if span == s.shape.Span {
			return nil
		}
	}
	return nil
}

func (s *search) findBestIn(span crank.Span) []crank.Part {
	if span == crank.SpanWorker {
		return s.bestWorker()
	}
	if s.shape.Tasks == 1 {
		return nil
	}
	return s.bestDomain(s.fleet.domains(span))
}

// bestWorker picks the worker that the scorer prefers, or without one that with the
// fewest accelerators left over.
func (s *search) bestWorker() []crank.Part {
	if s.fleet.scorer != nil {
		return s.fleet.scorer.bestWorker(s)
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

// bestDomain picks the domain by the same rule as bestWorker.
func (s *search) bestDomain(domains []domain) []crank.Part {
	if s.fleet.scorer != nil {
		return s.fleet.scorer.bestDomain(s, domains)
	}
	need := s.shape.Total().Accelerators
	best, least := -1, 0
	for n, d := range domains {
		tasks, accelerators := s.domainCapacity(d)
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

// domainCapacity returns how many tasks fit into a domain, and the available
// accelerators of workers that fit one.
func (s *search) domainCapacity(d domain) (tasks, accelerators int) {
	for i := d.from; i < d.to; i++ {
		fits := s.fitsOn(i)
		if fits == 0 {
			continue
		}
		tasks += fits
		accelerators += s.fleet.avail(s.view, i).Accelerators
	}
	return tasks, accelerators
}

func (s *search) fitsOn(i int) int {
	if !s.usable(i) {
		return 0
	}
	return s.fleet.avail(s.view, i).Fits(s.shape.PerTask, s.shape.Tasks)
}

func (s *search) usable(i int) bool {
	if held := s.fleet.heldFor[i]; held != "" && held != s.job && (s.allowHeld == nil || !s.allowHeld(i)) {
		return false
	}
	if len(s.avoid) > 0 && slices.Contains(s.avoid, s.fleet.workers[i].ID) {
		return false
	}
	return s.only == nil || s.only[s.fleet.workers[i].ID]
}

// fill assigns the gang to few workers of a domain: those that fit most tasks first,
// and for the last tasks the one that fits them most tightly.
func (s *search) fill(d domain) []crank.Part {
	type candidate struct{ worker, fits int }
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		if fits := s.fitsOn(i); fits > 0 {
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

// findFirst returns the first place in worker order in the narrowest domain that has
// one, or nil.
func (s *search) findFirst() []crank.Part {
	for _, span := range spans {
		domains := s.fleet.domains(span)
		if span == crank.SpanWorker {
			domains = s.fleet.workerDomains()
		}
		for _, d := range domains {
			if tasks, _ := s.domainCapacity(d); tasks >= s.shape.Tasks {
				return s.fillInOrder(d)
			}
		}
		if span == s.shape.Span {
			return nil
		}
	}
	return nil
}

func (f *fleet) workerDomains() []domain {
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
		if fits := min(rest, s.fitsOn(i)); fits > 0 {
			parts = append(parts, crank.Part{Worker: s.fleet.workers[i].ID, Tasks: fits})
			rest -= fits
		}
	}
	return parts
}
