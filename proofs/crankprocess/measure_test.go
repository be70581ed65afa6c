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

// TestMeasure submits small urgent jobs through three instances and prints their
// number, the appends to the log, the time from submission to start, and the
// processor time and memory of the instances.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run by make measure")
	}
	d := startDeployment(t, 3, 6)
	log := crankplatform.NewLog(d.logAddr)
	idle := appendsDuring(t, log, measureTime)
	usage := cpuSeconds(t, d)
	before := logEnd(t, log)
	sent := d.submitLoad(t)
	appends := int(logEnd(t, log) - before)
	var waits []time.Duration
	for _, line := range d.startLines("measured") {
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
	for n, used := range cpuSeconds(t, d) {
		fmt.Printf("entry-%d: %.1f%% of a core, %d MiB resident\n", n, 100*(used-usage[n])/seconds, residentMiB(t, d.entries[n].cmd.Process.Pid))
	}
}

// submitLoad submits jobs for measureTime and returns when each payload was
// submitted. Callers wait for each response, which keeps the load below the rate
// limit.
func (d *deployment) submitLoad(t *testing.T) map[string]time.Time {
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(measureTime)
	for n := range measureCallers {
		wg.Go(func() {
			c := d.callerClient(n % len(d.entries))
			for i := 0; time.Now().Before(until); i++ {
				payload := fmt.Sprintf("measured %d %d", n, i)
				submittedAt := time.Now()
				if _, err := c.Submit(context.Background(), newSubmission("quote-check", payload)); err != nil {
					time.Sleep(submitPause)
					continue
				}
				mu.Lock()
				sent[payload] = submittedAt
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return sent
}

// logEnd returns the offset after the last entry of the event stream.
func logEnd(t *testing.T, log crank.Log) crank.Offset {
	t.Helper()
	batch, err := log.Read(context.Background(), crank.EventStream, 1<<50, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return batch.End
}

func appendsDuring(t *testing.T, log crank.Log, d time.Duration) int {
	before := logEnd(t, log)
	time.Sleep(d)
	return int(logEnd(t, log) - before)
}

const ticksPerSecond = 100 // unit of the processor times in /proc: USER_HZ

// cpuSeconds returns the processor seconds that each instance has used.
func cpuSeconds(t *testing.T, d *deployment) []float64 {
	t.Helper()
	var seconds []float64
	for _, e := range d.entries {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
		var user, system float64
		_, _ = fmt.Sscan(fields[12], &user)
		_, _ = fmt.Sscan(fields[13], &system)
		seconds = append(seconds, (user+system)/ticksPerSecond)
	}
	return seconds
}

func residentMiB(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	var pages int
	_, _ = fmt.Sscan(strings.Fields(string(data))[1], &pages)
	return pages * os.Getpagesize() >> 20
}
