// Package crankfakereport writes what the run of an emulated site has shown, and what
// the logs say of each job that stood still.
package crankfakereport

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakewatch"
)

// Report is what a run has shown.
type Report struct {
	Seed       uint64
	Begun      time.Time
	Asked      time.Time // when the jobs were asked for
	Counts     map[string]int
	Lost       []crankfakewatch.Still // that stood still too long
	Early      []crankfakewatch.Still // that stood still as long, but in disturbances before Asked
	Crowded    []crankfakewatch.Still // that stood still as long with room twice over in a fuller pool, which breaks no rule
	Stills     []crankfakewatch.Still
	Violations []string
	RigFaults  []string
	Unfinished []string
	Waits      map[string][]time.Duration
	Reasons    map[string][]string // of Lost and Early, by job
}

// Broken reports whether a rule was broken.
func (r Report) Broken() bool { return len(r.Lost)+len(r.Violations) > 0 }

// New returns the report of a run whose jobs were asked for at a time, and may stand
// still for a bound.
func New(w *crankfakewatch.Watch, begun, asked time.Time, bound time.Duration) Report {
	stills := w.Stills()
	r := Report{
		Begun: begun, Asked: asked, Counts: w.Counts(), Stills: stills, Violations: w.Violations(), Unfinished: w.Unfinished(),
		Waits: w.StartWaits(), Reasons: make(map[string][]string), Lost: crankfakewatch.Lost(stills, asked, bound),
	}
	for _, s := range stills {
		switch {
		case s.View == crankfakewatch.ViewRoom && s.To.Sub(s.From) >= bound:
			r.Crowded = append(r.Crowded, s)
		case s.To.After(asked) && s.To.Sub(s.From) >= bound && !slices.Contains(r.Lost, s):
			r.Early = append(r.Early, s)
		}
	}
	return r
}

// Write writes the report to the directory of the logs, with the lines of the logs on
// the first jobs that stood still.
func (r Report) Write(dir string) error {
	const op = "report write"
	lines, err := readReasons(dir)
	if err != nil {
		return err
	}
	for _, s := range slices.Concat(r.Crowded, r.Early, r.Lost) {
		r.Reasons[s.Job] = reasons(lines, s)
	}
	f, err := os.Create(filepath.Join(dir, "report.txt"))
	if err != nil {
		return crank.Wrap(op, crank.KindUnavailable, err)
	}
	defer f.Close()
	r.Print(f)
	seen := make(map[string]bool)
	for _, s := range slices.Concat(r.Lost, r.Early) {
		if !seen[s.Job] && len(seen) < maxTraces {
			seen[s.Job] = true
			if err := trace(dir, s.Job); err != nil {
				return err
			}
		}
	}
	return nil
}

// Print prints the report as text.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d, traffic from %s, jobs asked for at %s\n", r.Seed, clock(r.Begun), clock(r.Asked))
	fmt.Fprintf(out, "jobs: %v, unfinished at the end: %d\n", r.Counts, len(r.Unfinished))
	r.printStills(out, "LOST", r.Lost)
	r.printStills(out, "early", r.Early)
	r.printStills(out, "crowded", r.Crowded[:min(len(r.Crowded), maxCrowded)])
	for _, v := range r.Violations {
		fmt.Fprintln(out, "broken:", v)
	}
	for _, v := range r.RigFaults {
		fmt.Fprintln(out, "rig fault:", v)
	}
	for _, w := range r.Series() {
		printPercentiles(out, w)
	}
}

// Series is one kind of wait.
type Series struct {
	Name string
	All  []time.Duration
}

// Percentile returns a percentile of the waits, 0 for none.
func (s Series) Percentile(p int) time.Duration {
	if len(s.All) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(s.All))
	return all[min(len(all)-1, len(all)*p/100)]
}

// Series returns the waits that the table shows: from submission to the first start,
// and the lengths of standstills.
func (r Report) Series() []Series {
	var list []Series
	for _, class := range slices.Sorted(maps.Keys(r.Waits)) {
		list = append(list, Series{"first start, " + class, r.Waits[class]})
	}
	lengths := make(map[crankfakewatch.View][]time.Duration)
	for _, s := range r.Stills {
		lengths[s.View] = append(lengths[s.View], s.To.Sub(s.From))
	}
	for _, view := range slices.Sorted(maps.Keys(lengths)) {
		list = append(list, Series{fmt.Sprintf("standstill by %s", view), lengths[view]})
	}
	return list
}

// printStills prints one entry a job: its longest standstill.
func (r Report) printStills(w io.Writer, what string, list []crankfakewatch.Still) {
	longest := make(map[string]crankfakewatch.Still)
	views := make(map[string]map[crankfakewatch.View]bool)
	for _, s := range list {
		if s.To.Sub(s.From) > longest[s.Job].To.Sub(longest[s.Job].From) {
			longest[s.Job] = s
		}
		if views[s.Job] == nil {
			views[s.Job] = make(map[crankfakewatch.View]bool)
		}
		views[s.Job][s.View] = true
	}
	for _, id := range slices.Sorted(maps.Keys(longest)) {
		s := longest[id]
		fmt.Fprintf(w, "%s: job %s (%s) has nothing running from %s to %s (%.1f s, %.1f s of it calm, %.1f s to %.1f s after the traffic's start), task %s could run by ends %v; %d runs so far, stands still %v\n",
			what, s.Job, s.Class, clock(s.From), clock(s.To), s.To.Sub(s.From).Seconds(), s.Calm.Seconds(), s.From.Sub(r.Begun).Seconds(), s.To.Sub(r.Begun).Seconds(), s.Task, slices.Sorted(maps.Keys(views[id])), s.Runs, s.Open)
		for _, reason := range r.Reasons[s.Job] {
			fmt.Fprintln(w, "    ", reason)
		}
	}
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func printPercentiles(out io.Writer, s Series) {
	fmt.Fprintf(out, "%-28s n=%-5d", s.Name, len(s.All))
	for _, p := range []int{50, 90, 99, 100} {
		fmt.Fprintf(out, " p%d=%-8s", p, s.Percentile(p).Round(10*time.Millisecond))
	}
	fmt.Fprintln(out)
}

// maxCrowded is the number of the latest standstills in a fuller pool that are printed.
const maxCrowded = 20

// maxTraces is the number of jobs whose lines are collected.
const maxTraces = 12

// traced are the lines that concern all jobs.
var traced = []string{
	"workers not accounted for", "worker not accounted for", "term taken over", "all workers accounted for", "term claim read",
	"lease expired without an answer", "planning while", "not stored", "term not taken over",
}

// trace collects the lines of all logs that name a job, or concern all, by time.
func trace(dir, job string) error {
	const op = "trace write"
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return crank.Wrap(op, crank.KindInvalid, err)
	}
	var lines []string
	for _, p := range paths {
		name := strings.TrimSuffix(filepath.Base(p), ".log")
		if strings.HasPrefix(name, "trace-") {
			continue
		}
		f, err := os.Open(p)
		if err != nil {
			return crank.Wrap(op, crank.KindUnavailable, err)
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			line := scanner.Text()
			general := name == "play" || slices.ContainsFunc(traced, func(t string) bool { return strings.Contains(line, t) })
			if general || strings.Contains(line, job) {
				lines = append(lines, lineTime(line)+" "+name+" "+line)
			}
		}
		f.Close()
	}
	slices.Sort(lines)
	return crank.Wrap(op, crank.KindUnavailable, os.WriteFile(filepath.Join(dir, "trace-"+job+".log"), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// lineTime returns the time of day of a line of any log.
func lineTime(line string) string {
	if _, rest, ok := strings.Cut(line, `"time":"`); ok && len(rest) > 23 {
		return rest[11:23]
	}
	return line[:min(12, len(line))]
}
