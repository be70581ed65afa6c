//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["frozen"] = frozen
	cases["outage"] = outage
	cases["tenants"] = tenants
}

const (
	deadline    = 3 * time.Second // of the consumers' requests
	cancelBound = 3 * time.Second // cancel_ms
	freezeTime  = 4 * time.Second
	silentTime  = 4900 * time.Millisecond
)

// deploy starts three instances and four workers.
func deploy(r *Rig) []*Node {
	r.Configure()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		r.NewWorker(id, "desk", "ikeja")
	}
	nodes := []*Node{r.NewNode("edge-1", "ikeja"), r.NewNode("edge-2", "apapa"), r.NewNode("edge-3", "lekki")}
	r.AwaitReady()
	return nodes
}

// chain is a job of three steps of 2 s each, one after the other.
func chain() []byte {
	step := func(after ...int) Step {
		s := Step{"count": 1, "cpu": 4000, "memory_limit_mb": 1024, "gpu": 1, "estimated_duration_ms": 2000}
		if len(after) > 0 {
			s["after"] = after
		}
		return s
	}
	return body("work=2000", step(), step(0), step(1))
}

// cancellation is a job whose cancellation was acknowledged.
type cancellation struct {
	job string
	Answer
}

// cancel cancels a job at one instance after the other until one acknowledges it.
func cancel(r *Rig, job string, nodes ...*Node) cancellation {
	for try := range 40 {
		a := r.Call(nodes[try%len(nodes)], "DELETE", "/normal/"+job, "key-north", nil, deadline)
		if a.Status/100 == 2 || a.Status == 410 {
			return cancellation{job, a}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(unable("no cancellation of " + job + " was acknowledged"))
}

// noneStarts reports whether no task of the jobs was started later than cancelBound after the
// cancellation was acknowledged.
func noneStarts(r *Rig, jobs []cancellation) bool {
	held := true
	for _, c := range jobs {
		for _, s := range r.Starts(c.job) {
			if late := s.At.Sub(c.At); late > cancelBound {
				r.Note("%s was started %s after the cancellation was acknowledged with %d", s.Task, late.Round(time.Millisecond), c.Status)
				held = false
			}
		}
	}
	return held
}

// frozen has consumers hand jobs in to an instance that is frozen, give up at their deadline
// and cancel the jobs at the other instances.
func frozen(r *Rig) bool {
	nodes := deploy(r)
	if r.Trouble {
		nodes[0].Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { nodes[0].Signal(syscall.SIGCONT) })
	}
	const consumers = 6
	done := make(chan cancellation)
	for i := range consumers {
		job := fmt.Sprintf("5c0e7a21d94b%04x", i)
		go func() {
			time.Sleep(100 * time.Millisecond)
			r.Call(nodes[0], "POST", "/normal/"+job, "key-north", chain(), deadline)
			done <- cancel(r, job, nodes[1+i%2], nodes[2-i%2])
		}()
	}
	return noneStarts(r, collect(done, consumers))
}

// collect returns the cancellations and waits until the jobs would have ended.
func collect(done chan cancellation, n int) []cancellation {
	var all []cancellation
	for range n {
		all = append(all, <-done)
	}
	time.Sleep(12 * time.Second)
	return all
}

// outage has consumers hand jobs in while the store answers nothing, give up at their
// deadlines and cancel the jobs once an instance acknowledges that.
func outage(r *Rig) bool {
	nodes := deploy(r)
	setSilent := func(silent bool) {
		for _, n := range nodes {
			n.Link.SetSilent(silent)
		}
		r.Note("the store answers: %t", !silent)
	}
	if r.Trouble {
		setSilent(true)
		time.AfterFunc(silentTime, func() { setSilent(false) })
	}
	const consumers = 24
	done := make(chan cancellation)
	for i := range consumers {
		job := fmt.Sprintf("5c0e7a21d94b%04x", i)
		go func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			r.Call(nodes[i%3], "POST", "/normal/"+job, "key-north", chain(), deadline)
			done <- cancel(r, job, nodes[(i+1)%3], nodes[(i+2)%3])
		}()
	}
	return noneStarts(r, collect(done, consumers))
}

// tenants has a consumer of one tenant cancel the job of another one.
func tenants(r *Rig) bool {
	nodes := deploy(r)
	const job = "/normal/5c0e7a21d94b36f8"
	work := body("work=6000", Step{"count": 2, "cpu": 4000, "memory_limit_mb": 1024, "gpu": 1, "estimated_duration_ms": 6000})
	if a := r.Call(nodes[0], "POST", job, "key-north", work, deadline); a.Status != 200 {
		panic(unable("the job was not accepted"))
	}
	time.Sleep(time.Second)
	if r.Trouble {
		r.State(nodes[1], "/patient/5c0e7a21d94b36f8", "key-south")
		r.Call(nodes[1], "DELETE", "/patient/5c0e7a21d94b36f8", "key-south", nil, deadline)
	}
	for range 10 {
		time.Sleep(time.Second)
		switch r.State(nodes[0], job, "key-north") {
		case "completed":
			return true
		case "cancelled", "failed", "410":
			return false
		}
	}
	panic(unable("the job did not end"))
}
