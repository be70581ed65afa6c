//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["frozen"] = frozen
	cases["fillers"] = fillers
	cases["gang"] = gang
	cases["guarantee"] = guarantee
	cases["tenants"] = tenants
}

const (
	deadline     = 3 * time.Second // of the consumers' requests
	cancelBound  = 3 * time.Second // cancel_ms
	freezeTime   = 4 * time.Second
	reclaimBound = 2700 * time.Millisecond // reclaim_timeout_ms
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

// submit hands a job of tenant north in.
func submit(r *Rig, n *Node, queue, job string, data []byte) {
	if a := r.Call(n, "POST", "/"+queue+"/"+job, "key-north", data, deadline); a.Status != 200 {
		panic(unable("the job was not accepted"))
	}
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

// fillers has tasks that fill begin to disturb those that serve beside them, on two of four
// workers. Of the step that fills one task may be unavailable.
func fillers(r *Rig) bool {
	r.Configure()
	var workers []*Worker
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		workers = append(workers, r.NewWorker(id, "desk", "ikeja"))
	}
	nodes := []*Node{r.NewNode("edge-1", "ikeja"), r.NewNode("edge-2", "apapa"), r.NewNode("edge-3", "lekki")}
	r.AwaitReady()
	const serving, filling = "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	submit(r, nodes[0], "patient", serving, body("lasting serve", Step{"count": 4, "cpu": 4000, "memory_limit_mb": 1024, "long_running": true, "target_ms": 50, "anti_affinity": 1, "image": "web"}))
	time.Sleep(3 * time.Second)
	submit(r, nodes[0], "patient", filling, body("lasting fill", Step{"count": 4, "cpu": 4000, "memory_limit_mb": 1024, "long_running": true, "fill_count": true, "anti_affinity": 1, "max_unavailable": 1, "image": "index"}))
	time.Sleep(18 * time.Second)
	if n := len(r.Starts(filling)); n != 4 || len(r.Ends(filling)) > 0 {
		panic(unable(fmt.Sprintf("%d tasks that fill were started", n)))
	}
	if r.Trouble {
		for _, w := range workers[:2] {
			w.SetDisturbed(true)
		}
		r.Note("tasks that fill disturb those that serve at i-1 and i-2")
	}
	time.Sleep(10 * time.Second)
	return availability(r, filling, 4, 1)
}

// availability reports whether no stop ended a task of a step that was at work while as many
// others as may be unavailable were away. The job has one step, whose tasks have all been at work.
func availability(r *Rig, job string, tasks, most int) bool {
	held := true
	for _, e := range r.Ends(job) {
		if e.How != "stopped" || !e.AtWork {
			continue
		}
		away := 0
		for n := range tasks {
			if name := fmt.Sprintf("%s.0.0.%d", job, n); name != e.Task && !r.AtWork(name, e.At) {
				away++
			}
		}
		r.Note("a stop ended %s at work while %d others of its step were away", e.Task, away)
		held = held && away < most
	}
	return held
}

// gang has an urgent job come while a patient job and a gang that lasts hold all workers. Of the
// gang one task may be unavailable.
func gang(r *Rig) bool {
	nodes := deploy(r)
	const patient, lasting, urgent = "5c0e7a21d94b0001", "5c0e7a21d94b0002", "5c0e7a21d94b0003"
	submit(r, nodes[0], "patient", patient, body("work=60000", Step{"count": 2, "cpu": 8000, "memory_limit_mb": 1024, "gpu": 8, "estimated_duration_ms": 60000}))
	time.Sleep(10 * time.Second)
	submit(r, nodes[0], "patient", lasting, body("lasting serve", Step{"count": 2, "cpu": 8000, "memory_limit_mb": 1024, "gpu": 8, "long_running": true, "gang": true, "max_unavailable": 1}))
	time.Sleep(5 * time.Second)
	if n := len(r.Starts(lasting)); n != 2 {
		panic(unable("the gang was not started"))
	}
	if r.Trouble {
		submit(r, nodes[0], "urgent", urgent, body("work=3000", Step{"count": 1, "cpu": 8000, "memory_limit_mb": 1024, "gpu": 8, "estimated_duration_ms": 3000}))
	}
	time.Sleep(8 * time.Second)
	return availability(r, lasting, 2, 1)
}

// guarantee has a gang of tenant south, within its guarantee, be spread over all workers by a
// patient job. When that has ended, tenant north claims one whole worker of its guarantee.
func guarantee(r *Rig) bool {
	nodes := deploy(r)
	const patient, lasting, claim = "5c0e7a21d94b0001", "5c0e7a21d94b0002", "5c0e7a21d94b0003"
	if r.Trouble {
		submit(r, nodes[0], "patient", patient, body("work=8000", Step{"count": 4, "cpu": 8000, "memory_limit_mb": 1024, "gpu": 7, "estimated_duration_ms": 8000}))
		time.Sleep(2 * time.Second)
	}
	gang := body("lasting serve", Step{"count": 4, "cpu": 2000, "memory_limit_mb": 1024, "gpu": 1, "long_running": true, "gang": true})
	if a := r.Call(nodes[1], "POST", "/urgent/"+lasting, "key-south", gang, deadline); a.Status != 200 {
		panic(unable("the gang was not accepted"))
	}
	time.Sleep(12 * time.Second)
	if n := len(r.Starts(lasting)); n != 4 {
		panic(unable("the gang was not started"))
	}
	submit(r, nodes[0], "urgent", claim, body("work=2000", Step{"count": 1, "cpu": 8000, "memory_limit_mb": 1024, "gpu": 8, "estimated_duration_ms": 2000}))
	confirmed := time.Now()
	time.Sleep(25 * time.Second)
	r.State(nodes[0], "/urgent/"+claim, "key-north")
	starts := r.Starts(claim)
	return len(starts) > 0 && starts[0].At.Sub(confirmed) <= reclaimBound
}

// tenants has a consumer of one tenant cancel the job of another one.
func tenants(r *Rig) bool {
	nodes := deploy(r)
	const job = "/normal/5c0e7a21d94b36f8"
	work := body("work=6000", Step{"count": 2, "cpu": 4000, "memory_limit_mb": 1024, "gpu": 1, "estimated_duration_ms": 6000})
	submit(r, nodes[0], "normal", "5c0e7a21d94b36f8", work)
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
