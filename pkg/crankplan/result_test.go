package crankplan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
)

type result struct {
	startDelays     map[crank.Class][]time.Duration // from submission to start
	completionTimes map[crank.Class][]time.Duration // from submission to end
	runTimes        []time.Duration                 // without waiting; no order can reach a lower mean
	fragmentation   []float64                       // share of the free accelerators that the shapes can't use
	stranded        []float64                       // the same, as a share of all
	largestGang     []float64                       // accelerators of the largest gang that would fit
	outageWork      float64                         // accelerator-hours finished during the zone outage
	lostWork        float64                         // accelerator-hours lost to evictions
	claims          int
	unmetClaims     int
	refused         int
	unfinished      int
	roundTimes      []time.Duration
	violations      []string
}

func (r *result) started(a *arrival, wait time.Duration) {
	if r.startDelays == nil {
		r.startDelays = map[crank.Class][]time.Duration{}
		r.completionTimes = map[crank.Class][]time.Duration{}
	}
	r.startDelays[a.job.Class] = append(r.startDelays[a.job.Class], wait)
}

func (r *result) finished(a *arrival, now, ran time.Duration, s crank.Shape) {
	r.runTimes = append(r.runTimes, a.actual)
	r.completionTimes[a.job.Class] = append(r.completionTimes[a.job.Class], now-a.at)
	if now > zoneOutageStart && now < zoneOutageStart+zoneOutageDuration {
		r.outageWork += ran.Hours() * float64(s.Total().Accelerators)
	}
}

// claimKey returns the workspace and kind of a job whose shape is that of a
// guarantee, as one key, and the number of guaranteed cells.
func (s *simulator) claimKey(a *arrival) (key string, cells int) {
	for _, w := range s.workload.workspaces {
		if w.Name != a.job.Workspace {
			continue
		}
		for _, g := range w.Guarantees {
			if g.Shape == a.job.Shape {
				return w.Name + " " + a.kind.name, g.Cells
			}
		}
	}
	return "", 0
}

// countClaim counts a started job against the cells of its workspace.
func (s *simulator) countClaim(a *arrival) string {
	key, cells := s.claimKey(a)
	if key == "" {
		return ""
	}
	if s.claimableRunning[key] < cells {
		s.result.claims++
	}
	s.claimableRunning[key]++
	return key
}

// countUnmetClaims counts, in each round, jobs that wait longer than claimTimeout although their
// workspace runs fewer jobs of their shape than it has cells. It counts none during
// the zone outage, when the rest may not satisfy all guarantees.
func (s *simulator) countUnmetClaims() {
	if now := s.now(); now >= zoneOutageStart && now <= zoneOutageStart+zoneOutageDuration {
		return
	}
	for _, j := range s.round.Waiting {
		key, cells := s.claimKey(s.jobs[j.ID])
		if key != "" && s.claimableRunning[key] < cells && s.now()-s.waitingSince[j.ID] > claimTimeout {
			s.result.unmetClaims++
		}
	}
}

// sampleFragmentation measures how much of what is free the shapes can use.
func (s *simulator) sampleFragmentation() {
	free, usable := 0, 0
	largest := 0
	f := newFleet(s.round.Workers)
	for i := range f.workers {
		free += f.free[i].Accelerators
	}
	kinds := 0
	for _, k := range s.workload.kinds {
		need := k.shape.Total().Accelerators
		if need == 0 {
			continue
		}
		kinds++
		gangs := countGangs(f, k.shape)
		usable += gangs * need
		if gangs > 0 {
			largest = max(largest, need)
		}
	}
	if free > 0 {
		s.result.fragmentation = append(s.result.fragmentation, 1-float64(usable)/float64(free*kinds))
	}
	total := len(f.workers) * s.workload.capacity.Accelerators
	s.result.stranded = append(s.result.stranded, float64(free*kinds-usable)/float64(total*kinds))
	s.result.largestGang = append(s.result.largestGang, float64(largest))
}

// countGangs returns how many gangs of a shape fit into what is free at once.
func countGangs(f *fleet, s crank.Shape) int {
	domains := f.domains(s.Span)
	if s.Span == crank.SpanWorker {
		domains = f.workerDomains()
	}
	n := 0
	for _, d := range domains {
		tasks := 0
		for i := d.from; i < d.to; i++ {
			tasks += f.free[i].Fits(s.PerTask, 1<<20)
		}
		n += tasks / s.Tasks
	}
	return n
}

func compareAttempts(a, b crank.AttemptID) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	return a.Number - b.Number
}

func meanDuration(list []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, d := range list {
		total += d
	}
	return total / time.Duration(max(1, len(list)))
}

// quantile sorts the list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func meanFloat(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total / float64(max(1, len(list)))
}

func (r result) row(workload, policy string, seed uint64) []string {
	all := slices.Concat(r.completionTimes[crank.ClassUrgent], r.completionTimes[crank.ClassPatient])
	minutes := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Minutes()) }
	return []string{
		workload, policy, fmt.Sprint(seed),
		minutes(meanDuration(r.runTimes)), minutes(meanDuration(all)), minutes(quantile(all, 0.5)), minutes(quantile(r.completionTimes[crank.ClassPatient], 0.99)),
		minutes(meanDuration(r.completionTimes[crank.ClassUrgent])), fmt.Sprintf("%.2f", quantile(r.startDelays[crank.ClassUrgent], 0.999).Seconds()),
		fmt.Sprintf("%.3f", meanFloat(r.fragmentation)), fmt.Sprintf("%.4f", meanFloat(r.stranded)), fmt.Sprintf("%.0f", meanFloat(r.largestGang)),
		fmt.Sprintf("%.0f", r.outageWork), fmt.Sprintf("%.0f", r.lostWork),
		fmt.Sprint(r.claims), fmt.Sprint(r.unmetClaims), fmt.Sprint(r.unfinished),
		fmt.Sprintf("%.2f", float64(quantile(r.roundTimes, 0.99).Microseconds())/1000),
		fmt.Sprint(len(r.violations)),
	}
}

var columns = []string{
	"workload", "policy", "seed",
	"run-mean-min", "mean-min", "p50-min", "patient-p99-min", "urgent-mean-min", "urgent-start-p999-s",
	"fragmentation", "stranded", "largest-gang", "outage-acc-hours", "lost-acc-hours", "claims", "unmet-rounds", "unfinished",
	"round-p99-ms", "violations",
}
