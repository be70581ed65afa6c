package crankprocess

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankplatform"
)

var measure = flag.Bool("measure", false, "run the measurement")

const (
	measureTime    = 8 * time.Second
	measureCallers = 8
)

// TestMeasure sends small urgent jobs through three instances, and prints how
// many were done, the appends that they cost, the time from submission to
// start, and what the instances used.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run by make measure")
	}
	d := deploy(t, 3, 6)
	log := crankplatform.NewLog(d.logAddr)
	idle := entriesOver(t, log, measureTime)
	usage := cpuOf(t, d)
	before := end(t, log)
	sent := d.load(t)
	appends := int(end(t, log) - before)
	var waits []time.Duration
	for _, line := range d.starts("measured") {
		var at int64
		if _, err := fmt.Sscan(line, &at); err != nil {
			t.Fatal(err)
		}
		for payload, submitted := range sent {
			if strings.Contains(line, `"`+payload+`"`) {
				waits = append(waits, time.UnixMilli(at).Sub(submitted))
			}
		}
	}
	slices.Sort(waits)
	seconds := measureTime.Seconds()
	fmt.Printf("idle: %.2f appends a second\n", float64(idle)/seconds)
	fmt.Printf("load: %d jobs, %.0f a second, %.2f appends a job, %.0f appends a second\n", len(sent), float64(len(sent))/seconds, float64(appends)/float64(len(sent)), float64(appends)/seconds)
	fmt.Printf("submit to start: p50 %s p99 %s of %d starts\n", waits[len(waits)/2], waits[len(waits)*99/100], len(waits))
	for n, used := range cpuOf(t, d) {
		fmt.Printf("entry-%d: %.1f%% of a core, %d MiB resident\n", n, 100*(used-usage[n])/seconds, resident(t, d.entries[n].cmd.Process.Pid))
	}
}

// load sends jobs as fast as each caller gets its answers, below the rate
// limit, and returns when each was submitted.
func (d *deployment) load(t *testing.T) map[string]time.Time {
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(measureTime)
	for n := range measureCallers {
		wg.Go(func() {
			c := d.caller(n % len(d.entries))
			for i := 0; time.Now().Before(until); i++ {
				payload := fmt.Sprintf("measured %d %d", n, i)
				begun := time.Now()
				if _, err := c.Submit(context.Background(), submission("quote-check", payload)); err != nil {
					time.Sleep(callPause)
					continue
				}
				mu.Lock()
				sent[payload] = begun
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return sent
}

func end(t *testing.T, log crank.Log) crank.Offset {
	t.Helper()
	batch, err := log.Read(context.Background(), crank.EventStream, 1<<50, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return batch.End
}

func entriesOver(t *testing.T, log crank.Log, d time.Duration) int {
	before := end(t, log)
	time.Sleep(d)
	return int(end(t, log) - before)
}

const clockTicks = 100 // a second, of the times in /proc

// cpuOf returns the processor seconds that each instance has used.
func cpuOf(t *testing.T, d *deployment) []float64 {
	t.Helper()
	var list []float64
	for _, e := range d.entries {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
		var user, system float64
		_, _ = fmt.Sscan(fields[12], &user)
		_, _ = fmt.Sscan(fields[13], &system)
		list = append(list, (user+system)/clockTicks)
	}
	return list
}

// resident returns the resident memory of a process in MiB.
func resident(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	var pages int
	_, _ = fmt.Sscan(strings.Fields(string(data))[1], &pages)
	return pages * os.Getpagesize() >> 20
}
