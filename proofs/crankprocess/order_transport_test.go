package crankprocess

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	crank "cranberrycrank"
	crankadapter "cranberrycrank/platform"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// Variables of the environment that make this program serve a leased worker.
const (
	workerAddrVariable = "CRANK_TEST_WORKER_ADDR"
	workerIDVariable   = "CRANK_TEST_WORKER_ID"
)

// serveWorker serves one incarnation of a leased worker and prints its start orders.
func serveWorker(addr string) int {
	fleet := crankfakefleet.New(crankfakefleet.Config{
		Bounds:  crank.LeaseBounds{MaxLease: time.Minute, StopTime: time.Second, GangTimeout: time.Minute},
		Specs:   func(string) (crank.StepJob, bool) { return crank.StepJob{Steps: []crank.Step{{Tasks: 1}}}, true },
		RunTime: func(crank.TaskID, string) time.Duration { return time.Minute },
	})
	handler := crankfakeplatform.WorkerHandler{Entry: fleet.Add(crank.WorkerEntry{ID: os.Getenv(workerIDVariable), Addr: addr}), Dial: fleet}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	fmt.Println("listening")
	err = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if fleet.HasStarted(orderedJob) {
			fmt.Println("started", orderedJob)
		}
	}))
	fmt.Println(err)
	return 1
}

const orderedJob = "5c0e7a21d94b36f8"

// leasedWorker is a worker's process.
type leasedWorker struct {
	*process
	client crank.LeasedWorker
}

// startLeasedWorker starts an incarnation of a worker and waits until it answers.
func (d *deployment) startLeasedWorker(id, addr string) leasedWorker {
	d.t.Helper()
	p := d.startCommand(os.Args[0], append(os.Environ(), workerAddrVariable+"="+addr, workerIDVariable+"="+id))
	w := leasedWorker{p, crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(crank.WorkerEntry{ID: id, Addr: addr})}
	d.waitFor("the worker answers", func() bool {
		ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
		defer cancel()
		_, err := w.client.Renew(ctx, crank.RenewOrder{Fence: 1})
		return err == nil
	})
	return w
}

// end kills a worker and returns what it has printed.
func (w leasedWorker) end(t *testing.T) string {
	w.signal(t, syscall.SIGKILL)
	<-w.done
	return w.output.String()
}

// order sends a start order and waits for its answer up to a second.
func (w leasedWorker) order(t *testing.T) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := w.client.Start(ctx, crank.RunOrder{Task: crank.TaskID{Job: orderedJob}, Run: 1, Fence: 1, DeadlineMs: 60_000})
	return err
}

// isStopped reports whether a signal has stopped a process.
func isStopped(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && strings.Contains(string(stat), ") T ")
}

// A start order that a worker's process had received, or that waited in its socket, must
// end with that process: the stand-in of the fleet assumes so for late orders. A later
// incarnation under the same ID and address gets it only if the caller still waits.
func TestStartOrderEndsWithTheWorkersProcess(t *testing.T) {
	for _, v := range []struct {
		name     string
		restarts bool // while the caller waits
	}{{"after_the_call", false}, {"during_the_call", true}} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := &deployment{t: t, dir: t.TempDir()}
			addr := freeAddr(t)
			former := d.startLeasedWorker("i-1", addr)
			former.signal(t, syscall.SIGSTOP)
			d.waitFor("the process is stopped", func() bool { return isStopped(former.cmd.Process.Pid) })
			answered := make(chan error, 1)
			go func() { answered <- former.order(t) }()
			if v.restarts {
				time.Sleep(300 * time.Millisecond)
			} else if err := <-answered; err == nil {
				t.Error("a stopped process has answered")
			}
			is.True(!strings.Contains(former.end(t), "started"))
			next := d.startLeasedWorker("i-1", addr)
			if v.restarts {
				<-answered
			}
			time.Sleep(2 * time.Second)
			is.True(!strings.Contains(next.end(t), "started"))

			control := d.startLeasedWorker("i-1", addr)
			is.NoErr(control.order(t))
			is.True(strings.Contains(control.end(t), "started"))
		})
	}
}
