// Command crankreview plays one case of the review: it starts stand-ins of the
// platform's store, of workers and of consumers, starts the project's own program as
// three processes, and checks a rule from what the stand-ins see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is one case. It returns an error if it could not run.
type scenario func(d *deployment, trouble bool) error

var scenarios = map[string]scenario{
	"many-ends":      manyEnds,
	"large-job":      largeJob,
	"reborn-worker":  rebornWorker,
	"long-schedules": longSchedules,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("program", "target/cranberrycrank", "the program under test")
	keep := flag.String("logs", "", "folder that keeps the logs of the program; empty for none")
	flag.Parse()
	os.Exit(play(*name, *dir, *program, *keep))
}

func play(name, dir, program, keep string) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "crankreview: no such case:", name)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "crankreview:", err)
		return exitFailed
	}
	defer rec.close()
	rec.event("case %s, with its disruption: %v", name, trouble)
	d, err := newDeployment(rec, program, keep)
	if err == nil {
		defer d.close()
		err = runUntilSignal(func() error { return run(d, trouble) })
	}
	if err != nil {
		rec.event("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "crankreview: the case could not run:", err)
		return exitFailed
	}
	if n := rec.brokenCount(); n > 0 {
		rec.event("the rule was broken %d times", n)
		fmt.Printf("%s: the rule was broken %d times\n", name, n)
		return exitBroken
	}
	rec.event("the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return exitHeld
}

// runUntilSignal returns early if the case is told to end, so that it ends its
// processes.
func runUntilSignal(run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- run() }()
	select {
	case err := <-done:
		return err
	case s := <-signals:
		return fmt.Errorf("told to end: %s", s)
	}
}

// smallJob returns the body of a job with one step.
func smallJob(count, cpu, memoryMB, gpu int, estimate time.Duration, more string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"spec":"check","steps":[{"count":%d,"cpu":%d,"memory_limit_mb":%d`, count, cpu, memoryMB)
	if gpu > 0 {
		fmt.Fprintf(&b, `,"gpu":%d`, gpu)
	}
	fmt.Fprintf(&b, `,"estimated_duration_ms":%d%s}]}`, estimate.Milliseconds(), more)
	return []byte(b.String())
}
