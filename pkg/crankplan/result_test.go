package crankplan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
)

// result is what one run of the driver measured.
type result struct {
	starts     map[crank.Class][]time.Duration // from submission to start
	completes  map[crank.Class][]time.Duration // from submission to end
	runs       []time.Duration                 // run time alone, a bound of what any order can reach
	fragments  []float64                       // share of free accelerators that the shapes can't use
	stranded   []float64                       // the same as a share of all accelerators
	largest    []float64                       // largest gang that would fit, accelerators
	outage     float64                         // accelerator hours finished while the zone was out
	lost       float64                         // accelerator hours done twice
	claims     int
	unmet      int
	refused    int
	unfinished int
	rounds     []time.Duration
	violations []string
}

func (r *result) started(a *arrival, wait time.Duration) {
	if r.starts == nil {
		r.starts = map[crank.Class][]time.Duration{}
		r.completes = map[crank.Class][]time.Duration{}
	}
	r.starts[a.job.Class] = append(r.starts[a.job.Class], wait)
}

func (r *result) finished(a *arrival, now, ran time.Duration, s crank.Shape) {
	r.runs = append(r.runs, a.actual)
	r.completes[a.job.Class] = append(r.completes[a.job.Class], now-a.at)
	if now > zoneOutAt && now < zoneOutAt+zoneOutFor {
		r.outage += ran.Hours() * float64(s.Total().Accelerators)
	}
}

// claimKey names the cells of a workspace that a kind of job can claim.
func (d *driver) claimKey(a *arrival) (key string, cells int) {
	for _, w := range d.workload.workspaces {
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

// takeClaim counts a started job against its workspace's cells.
func (d *driver) takeClaim(a *arrival) string {
	key, cells := d.claimKey(a)
	if key == "" {
		return ""
	}
	if d.claims[key] < cells {
		d.result.claims++
	}
	d.claims[key]++
	return key
}

// judgeClaims counts jobs that wait though fewer jobs of their workspace and
// shape run than it has cells.
// While a zone is out the guarantees may exceed what is left.
func (d *driver) judgeClaims() {
	if now := d.now(); now >= zoneOutAt && now <= zoneOutAt+zoneOutFor {
		return
	}
	for _, j := range d.round.Waiting {
		key, cells := d.claimKey(d.jobs[j.ID])
		if key != "" && d.claims[key] < cells && d.now()-d.since[j.ID] > claimBound {
			d.result.unmet++
		}
	}
}

// sample measures fragmentation.
func (d *driver) sample() {
	free, usable := 0, 0
	largest := 0
	f := newFleet(d.round.Workers)
	for i := range f.workers {
		free += f.free[i].Accelerators
	}
	kinds := 0
	for _, k := range d.workload.kinds {
		need := k.shape.Total().Accelerators
		if need == 0 {
			continue
		}
		kinds++
		gangs := placeable(f, k.shape)
		usable += gangs * need
		if gangs > 0 {
			largest = max(largest, need)
		}
	}
	if free > 0 {
		d.result.fragments = append(d.result.fragments, 1-float64(usable)/float64(free*kinds))
	}
	total := len(f.workers) * d.workload.capacity.Accelerators
	d.result.stranded = append(d.result.stranded, float64(free*kinds-usable)/float64(total*kinds))
	d.result.largest = append(d.result.largest, float64(largest))
}

// placeable counts the gangs of a shape that fit at once into what is free.
func placeable(f *fleet, s crank.Shape) int {
	domains := f.domains(s.Span)
	if s.Span == crank.SpanWorker {
		domains = f.singles()
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

func mean(list []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, d := range list {
		total += d
	}
	return total / time.Duration(max(1, len(list)))
}

// quantile returns a quantile of a list that it sorts.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func average(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total / float64(max(1, len(list)))
}

// row returns the result as the cells of a table.
func (r result) row(workload, policy string, seed uint64) []string {
	all := slices.Concat(r.completes[crank.ClassUrgent], r.completes[crank.ClassPatient])
	minutes := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Minutes()) }
	return []string{
		workload, policy, fmt.Sprint(seed),
		minutes(mean(r.runs)), minutes(mean(all)), minutes(quantile(all, 0.5)), minutes(quantile(r.completes[crank.ClassPatient], 0.99)),
		minutes(mean(r.completes[crank.ClassUrgent])), fmt.Sprintf("%.2f", quantile(r.starts[crank.ClassUrgent], 0.999).Seconds()),
		fmt.Sprintf("%.3f", average(r.fragments)), fmt.Sprintf("%.4f", average(r.stranded)), fmt.Sprintf("%.0f", average(r.largest)),
		fmt.Sprintf("%.0f", r.outage), fmt.Sprintf("%.0f", r.lost),
		fmt.Sprint(r.claims), fmt.Sprint(r.unmet), fmt.Sprint(r.unfinished),
		fmt.Sprintf("%.2f", float64(quantile(r.rounds, 0.99).Microseconds())/1000),
		fmt.Sprint(len(r.violations)),
	}
}

var columns = []string{
	"workload", "policy", "seed",
	"run-mean-min", "mean-min", "p50-min", "patient-p99-min", "urgent-mean-min", "urgent-start-p999-s",
	"fragmentation", "stranded", "largest-gang", "outage-acc-hours", "lost-acc-hours", "claims", "unmet-rounds", "unfinished",
	"round-p99-ms", "violations",
}
