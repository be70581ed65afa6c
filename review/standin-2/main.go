// Command standin-2 plays one case of a review: it starts the store, workers and consumers of
// a small deployment as stand-ins, the entry instances as processes of their own, disturbs
// them as the case says, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

// scenario is a case. It is played without its disturbance if trouble is false.
type scenario struct {
	bounds workerBounds
	play   func(d *deployment, trouble bool) (verdict, error)
}

var scenarios = map[string]scenario{
	"service-beside-fillers":     {lahore, playServiceBesideFillers},
	"replica-preempted":          {lahore, playReplicaPreempted},
	"pending-after-loss":         {lahore, playPendingAfterLoss},
	"guarantee-fragmented":       {lahore, playGuaranteeFragmented},
	"leases-lapse-in-silence":    {lahore, playLeasesLapseInSilence},
	"gang-behind-service":        {lahore, playGangBehindService},
	"service-behind-reservation": {lahore, playServiceBehindReservation},
	"filler-beside-services":     {lahore, playFillerBesideServices},
	"worker-then-leader":         {lahore, playWorkerThenLeader},
	"queue-moved":                {lahore, playQueueMoved},
}

// lahore holds the bounds of the site chamois-grid.
var lahore = workerBounds{hold: 10 * time.Second, stop: 400 * time.Millisecond, gang: 3 * time.Second}

// longestPlay keeps a case below the 120 seconds that a script may take.
const longestPlay = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "scenario to play")
	binary := flag.String("binary", "target/cranberrycrank", "the project's program")
	recordPath := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	logs := flag.String("logs", "", "directory that gets the logs of the processes")
	flag.Parse()
	v, err := run(*name, *binary, *recordPath, *logs, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(exitFailed)
	case v.broken:
		fmt.Println("broken:", v.why)
		os.Exit(exitBroken)
	}
	fmt.Println("held:", v.why)
	os.Exit(exitHeld)
}

func run(name, binary, recordPath, logs string, trouble bool) (verdict, error) {
	s, ok := scenarios[name]
	if !ok {
		return verdict{}, errors.New("no such scenario: " + name)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return verdict{}, err
	}
	defer file.Close()
	rec := &record{file: file, begun: time.Now()}
	rec.line("case %s, with the disturbance: %t", name, trouble)
	d, err := newDeployment(rec, binary, s.bounds)
	if err != nil {
		return verdict{}, err
	}
	defer d.close(logs)
	var v verdict
	played := make(chan struct{})
	go func() {
		v, err = s.play(d, trouble)
		close(played)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-played:
	case <-stop:
		return verdict{}, errors.New("stopped by a signal")
	case <-time.After(longestPlay):
		return verdict{}, fmt.Errorf("not played after %s", longestPlay)
	}
	rec.line("broken: %t; %s; error: %v", v.broken, v.why, err)
	return v, err
}
