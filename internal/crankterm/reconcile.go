package crankterm

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
)

// updateWorkers returns a record of the differences between a fresh instance list
// and the workers of the state.
func (p *Planner) updateWorkers(s crankstate.State) []crankrecord.Record {
	members := p.Members()
	if time.Since(members.AsOf) > crank.MaxListAge {
		return nil
	}
	r := &crankrecord.Workers{Term: s.Term.Number}
	listed := make(map[string]bool, len(members.Workers))
	for _, w := range members.Workers {
		listed[w.ID] = true
		known, ok := s.Worker(w.ID)
		if !ok || known.Gone || known.Instance != w {
			r.Update = append(r.Update, w)
		}
	}
	for _, w := range s.Workers() {
		if !listed[w.ID] && !w.Gone {
			r.Remove = append(r.Remove, w.ID)
		}
	}
	if len(r.Update) == 0 && len(r.Remove) == 0 {
		return nil
	}
	return []crankrecord.Record{{Workers: r}}
}

// owners returns the incarnations that can start attempts: this one and all others
// that are ready and answered recently.
func (p *Planner) owners() []string {
	members := p.Members()
	owners := []string{p.Incarnation}
	for _, i := range members.Incarnations {
		if members.Running(i.ID) && i.Status.Ready {
			owners = append(owners, i.ID)
		}
	}
	return owners
}

// reassign returns records that give this instance the attempts whose owner is
// unresponsive or has not started them in time.
func (p *Planner) reassign(s crankstate.State) []crankrecord.Record {
	members := p.Members()
	var records []crankrecord.Record
	seen := make(map[crank.Position]time.Time, len(p.firstSeen))
	for _, j := range s.Active() {
		if j.Attempt.Started {
			continue
		}
		token := j.Attempt.Token
		first, ok := p.firstSeen[token]
		if !ok {
			first = time.Now()
		}
		seen[token] = first
		if !p.needsNewOwner(members, j, time.Since(first)) {
			continue
		}
		p.Logger.Info("plan: reassigning attempt", "job", j.Job, "attempt", j.Attempt.Number, "owner", j.Attempt.Owner)
		records = append(records, crankrecord.Record{Reassign: &crankrecord.Reassign{Term: s.Term.Number, Attempt: j.ID(), Owner: p.Incarnation}})
	}
	p.firstSeen = seen
	return records
}

// unresponsiveOwnerTimeout is how long an owner that does not answer keeps an
// unstarted attempt.
const unresponsiveOwnerTimeout = time.Second

func (p *Planner) needsNewOwner(members crankmembers.View, j crankstate.Job, age time.Duration) bool {
	if j.Attempt.Owner == p.Incarnation {
		return false
	}
	if age > crank.DispatchTimeout {
		return true
	}
	return age > unresponsiveOwnerTimeout && !members.Running(j.Attempt.Owner)
}

// expire returns records that end the waiting jobs whose deadline has passed.
func (p *Planner) expire(s crankstate.State) []crankrecord.Record {
	now := time.Now()
	var records []crankrecord.Record
	for _, j := range s.Waiting() {
		if !j.Deadline.IsZero() && now.After(j.Deadline) {
			records = append(records, crankrecord.Record{Refuse: &crankrecord.Refuse{
				Term:   s.Term.Number,
				Job:    j.Job,
				Reason: "it was not started by its deadline",
			}})
		}
	}
	return records
}
