package main

import (
	"fmt"
	"sync"
	"time"
)

// settle is the time from readiness to the first disruption; the planner's term is
// held and all workers are known by then.
const settle = 5 * time.Second

// manyEnds plays an outage of the store while many small tasks run.
func manyEnds(d *deployment, trouble bool) error {
	const (
		tasks  = 2000
		outage = 4500 * time.Millisecond // the site's largest for the whole store
		finish = 45 * time.Second
	)
	err := d.start(lagosBounds, 2, func(string) time.Duration { return time.Second })
	if err != nil {
		return err
	}
	time.Sleep(settle)
	j := d.submit(tasks, smallJob(tasks, 100, 100, 0, time.Second, ""))
	if !j.accepted {
		return fmt.Errorf("the job was not accepted: %v", j.answers)
	}
	time.Sleep(800 * time.Millisecond)
	if trouble {
		d.rec.event("the store is down")
		d.store.setDown(true)
		time.Sleep(outage)
		d.store.setDown(false)
		d.rec.event("the store is back")
	}
	return d.awaitCompleted([]*submitted{j}, finish)
}

// awaitCompleted waits until jobs are shown as completed. Whether they are is not
// checked.
func (d *deployment) awaitCompleted(jobs []*submitted, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, j := range jobs {
		for time.Now().Before(deadline) {
			if state, err := d.state(j.id); err == nil && state == "completed" {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // the last ends are taken note of
	return nil
}

// largeJob hands in one job whose body is within the published limit, beside usual
// ones.
func largeJob(d *deployment, trouble bool) error {
	const (
		period  = 250 * time.Millisecond
		traffic = 25 * time.Second
		largeAt = 8 * time.Second
	)
	err := d.start(lagosBounds, 4, func(string) time.Duration { return 500 * time.Millisecond })
	if err != nil {
		return err
	}
	time.Sleep(settle)
	var wait sync.WaitGroup
	begun, large := time.Now(), false
	for time.Since(begun) < traffic {
		if trouble && !large && time.Since(begun) > largeAt {
			large = true
			body, steps := layeredJob(maxBodyBytes)
			d.rec.event("a consumer hands in a job of %d steps, %d bytes; the limit is %d", steps, len(body), maxBodyBytes)
			wait.Go(func() { d.submit(steps, body) })
		}
		wait.Go(func() { d.submit(2, smallJob(2, 1000, 1000, 0, 500*time.Millisecond, "")) })
		time.Sleep(period)
	}
	wait.Wait()
	d.checkNothingStands()
	return nil
}

// checkNothingStands asks for the accepted jobs some time after the end of the traffic,
// and checks that none has nothing running while the workers are idle.
func (d *deployment) checkNothingStands() {
	const (
		finish = 14 * time.Second
		stand  = 3 * time.Second
	)
	d.rec.event("the traffic has ended")
	time.Sleep(finish - stand)
	before, _ := d.fleet.progressOf()
	time.Sleep(stand)
	after, active := d.fleet.progressOf()
	d.rec.event("%d runs are active on %d workers", active, len(d.fleet.workers))
	for _, j := range d.jobs {
		if !j.accepted || j.scheduled {
			continue
		}
		state, err := d.state(j.id)
		if err != nil {
			d.rec.broken("LOST: job %s, accepted, gets no state: %v", j.id, err)
			continue
		}
		stands := before[j.id] == after[j.id] && after[j.id].running == 0 && after[j.id].done < j.tasks
		if state != "completed" && stands {
			d.rec.broken("LOST: job %s, sent %.1f s ago and accepted, is %s; %d of %d tasks are done, none ran for %s, and %d runs are active in all",
				j.id, time.Since(j.sent).Seconds(), state, after[j.id].done, j.tasks, stand, active)
		}
	}
}

// progress is what the workers know of a job.
type progress struct {
	running, done int
	last          time.Time // when a run last began or ended
}

// progressOf returns the progress of each job, and how many runs are active in all.
func (f *fleet) progressOf() (jobs map[string]progress, active int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs = make(map[string]progress)
	for job, n := range f.runsOfJob {
		jobs[job] = progress{n, len(f.doneOfJob[job]), f.lastOfJob[job]}
		active += n
	}
	return jobs, active
}

// layeredJob returns a job whose steps form layers, each step after all of the layer
// before, with as many steps as fit into a body.
func layeredJob(limit int) ([]byte, int) {
	const width = 60
	spec := make([]byte, 0, 64)
	spec = append(spec, "fit check of a street"...)
	head := `{"spec":"` + string(spec) + `","steps":[`
	body, steps := []byte(head), 0
	for {
		step := `{"count":1,"cpu":100,"memory_limit_mb":100,"estimated_duration_ms":500`
		if layer := steps / width; layer > 0 {
			step += `,"after":[`
			for i := range width {
				if i > 0 {
					step += ","
				}
				step += fmt.Sprint((layer-1)*width + i)
			}
			step += "]"
		}
		step += "}"
		if len(body)+len(step)+3 > limit {
			break
		}
		if steps > 0 {
			body = append(body, ',')
		}
		body = append(body, step...)
		steps++
	}
	return append(body, "]}"...), steps
}

// rebornWorker cuts workers off for a moment in which they crash and start again
// under their ids.
func rebornWorker(d *deployment, trouble bool) error {
	const (
		period = 40 * time.Millisecond
		rounds = 8
		cut    = 400 * time.Millisecond
		pause  = 4 * time.Second
	)
	err := d.start(lagosBounds, 6, func(string) time.Duration { return 2500 * time.Millisecond })
	if err != nil {
		return err
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(period):
				wait.Go(func() { d.submit(2, smallJob(2, 500, 500, 0, 2500*time.Millisecond, `,"anti_affinity":1`)) })
			}
		}
	})
	time.Sleep(4 * time.Second)
	for i := range rounds {
		w := d.fleet.workers[i%len(d.fleet.workers)]
		if trouble {
			d.rec.event("worker %s is cut off", w.id)
			w.gate.setCut(true)
			time.Sleep(cut / 2)
			w.crash()
			time.Sleep(cut / 2)
			w.restart()
			w.gate.resetAll()
			w.gate.setCut(false)
			d.rec.event("the cut of worker %s is over", w.id)
		}
		time.Sleep(pause)
	}
	close(stop)
	wait.Wait()
	time.Sleep(6 * time.Second)
	return nil
}

// longSchedules hands in jobs with many repetitions, beside usual ones.
func longSchedules(d *deployment, trouble bool) error {
	const (
		period    = 500 * time.Millisecond
		traffic   = 30 * time.Second
		scheduled = 14
		times     = 12000
		tasks     = 16
		interval  = 5 * time.Second
	)
	err := d.start(lagosBounds, 6, func(string) time.Duration { return 500 * time.Millisecond })
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.limitMemory(stop)
	time.Sleep(settle)
	var wait sync.WaitGroup
	begun, handedIn := time.Now(), 0
	for time.Since(begun) < traffic {
		if trouble && handedIn < scheduled {
			handedIn++
			body := fmt.Appendf(nil, `{"spec":"survey","steps":[{"count":%d,"cpu":200,"memory_limit_mb":200,"estimated_duration_ms":500}],"repetitions":%d,"start_time_ms":%d,"interval_ms":%d}`,
				tasks, times, time.Now().Add(time.Second).UnixMilli(), interval.Milliseconds())
			wait.Go(func() {
				d.rec.event("a consumer hands in a job of %d tasks, %d times, %d bytes", tasks, times, len(body))
				d.submit(tasks, body).scheduled = true
			})
		}
		wait.Go(func() { d.submit(2, smallJob(2, 1000, 1000, 0, 500*time.Millisecond, "")) })
		time.Sleep(period)
	}
	wait.Wait()
	d.checkNothingStands()
	return nil
}
