package cranksoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

const (
	suspension  = 4 * time.Second
	callTime    = 3 * time.Second  // as that of the site
	patientTime = 20 * time.Second // of callers that keep their connections open
)

// A suspended instance ran jobs that had been cancelled at other ones, whether their callers
// had closed the connection or not. Handed in anew, to any instance, such a job runs.
func TestJobsCancelledWhileTheirInstanceIsSuspendedNeverRun(t *testing.T) {
	t.Parallel()
	u := startUpgrade(t, build(t))
	instances := u.rig.Instances()
	resume, err := instances[0].Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.Pause})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(suspension, func() { _ = resume() }) // never fails
	var jobs []crankfakesite.Job
	var callers sync.WaitGroup
	for n := range 12 {
		j := u.newJob(fmt.Sprintf("0000000acancel%02d", n), 300*time.Millisecond)
		jobs = append(jobs, j)
		callers.Go(func() {
			if n%2 == 0 {
				callers.Go(func() { u.call(instances[0], http.MethodPost, j, patientTime) })
			}
			if a := u.rig.Submit(t.Context(), j, instances[0]); a != crankfakewatch.Unknown { // it gives up after callTime
				t.Errorf("the suspended instance answered %v", a)
			}
			if status, _ := u.call(instances[1+n%2], http.MethodDelete, j, callTime); status != http.StatusGone {
				t.Errorf("cancellation of job %s got %d", j.ID, status)
			}
			if isHandedInAnew(n) {
				u.submitUntilAccepted(j, n)
			}
		})
	}
	callers.Wait()
	time.Sleep(5 * time.Second)
	for n, j := range jobs {
		want := http.StatusOK
		if !isHandedInAnew(n) {
			want = http.StatusGone
		}
		for _, i := range instances {
			if status, text := u.call(i, http.MethodGet, j, callTime); status != want || (status == http.StatusOK && !strings.Contains(text, "completed")) {
				t.Errorf("state of job %s at %s: %d %s, want %d", j.ID, i.Name, status, strings.TrimSpace(text), want)
			}
		}
	}
}

func isHandedInAnew(n int) bool { return n%4 >= 2 }

// submitUntilAccepted hands a job in to one instance after the other.
func (u *upgrade) submitUntilAccepted(j crankfakesite.Job, n int) {
	instances := u.rig.Instances()
	for try := range 6 {
		status, _ := u.call(instances[(n+try)%len(instances)], http.MethodPost, j, callTime)
		if status == http.StatusOK {
			return
		}
		if status != 0 && status != http.StatusServiceUnavailable {
			u.t.Errorf("job %s, handed in anew, got %d", j.ID, status)
		}
		time.Sleep(time.Second)
	}
	u.t.Errorf("job %s, handed in anew, was not accepted", j.ID)
}

// call makes a call about a job on a connection of its own, and returns the status and the
// text of the answer, 0 for none.
func (u *upgrade) call(i *crankfakeinstance.Instance, method string, j crankfakesite.Job, wait time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(u.t.Context(), wait)
	defer cancel()
	var body []byte
	if method == http.MethodPost {
		body = crankfakeplatform.EncodeJob(j.StepJob)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.DirectAddr()+"/"+j.Queue+"/"+j.ID, bytes.NewReader(body))
	if err != nil {
		u.t.Error(err)
		return 0, ""
	}
	r.Host, r.Close = "hall.example", true
	r.Header.Set("X-Cranberrycrank-Key", "key-of-"+j.Workspace)
	r.Header.Set("X-Cranberrycrank-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(data)
}

// newJob returns a job of one task of the first class of the site.
func (u *upgrade) newJob(id string, runTime time.Duration) crankfakesite.Job {
	class := u.site.Classes[0]
	return crankfakesite.Job{Class: class.Name, StepJob: crank.StepJob{
		ID: id, Queue: class.Name, Workspace: "tenant-0", Payload: "plan " + id, Priority: class.Priority, Attempts: class.Attempts,
		Steps: []crank.Step{{Tasks: 1, RunTime: runTime, Demand: crank.Demand{MilliCores: 2000, Accelerators: 1}}},
	}}
}
