package crankfakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	crank "cranberrycrank"
)

// WorkerHandler serves starts, stops and renewals of one leased worker.
type WorkerHandler struct {
	Entry crank.WorkerEntry
	Dial  crank.LeaseDialer
}

// EncodeEntry returns a worker's entry in the platform's JSON format.
func EncodeEntry(e crank.WorkerEntry) []byte {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": e.Pool, "address": e.Addr, "zone": e.Zone, "version": "v1", "slots": 8, "state": state, "born": e.StartTimeMs,
		"capacity": map[string]int{"cpu": e.Capacity.MilliCores, "memory_limit_mb": e.Capacity.MemoryMiB, "gpu": e.Capacity.Accelerators},
		"labels":   e.Labels, "remaining_ms": e.DrainLeft.Milliseconds(),
	})
	if err != nil {
		panic(err) // an entry always has a JSON form
	}
	return data
}

// ServeHTTP implements http.Handler.
func (h WorkerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Cranberrycrank-Expected-Instance"); id != "" && id != h.Entry.ID {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var body struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadline_ms"`
		Fence      int64  `json:"fencing_token"`
		Checkpoint string `json:"checkpoint"`
		LastSeen   int64  `json:"last_seen"`
		WaitMs     int64  `json:"wait_timeout_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	worker := h.Dial.LeasedWorker(h.Entry)
	task := parseTask(body.Task)
	switch r.URL.Path {
	case "/api/run-start":
		reply, err := worker.Start(r.Context(), crank.RunOrder{
			Task: task, Run: body.Run, Payload: body.Spec, Checkpoint: body.Checkpoint, Fence: body.Fence, DeadlineMs: body.DeadlineMs,
		})
		writeOrderReply(w, reply, err)
	case "/api/run-stop":
		reply, err := worker.Stop(r.Context(), crank.StopOrder{Task: task, Run: body.Run, Fence: body.Fence})
		writeOrderReply(w, reply, err)
	case "/api/hold":
		report, err := worker.Renew(r.Context(), crank.RenewOrder{
			Fence: body.Fence, AckedThrough: body.LastSeen, DeadlineMs: body.DeadlineMs, Wait: time.Duration(body.WaitMs) * time.Millisecond,
		})
		writeRenewReport(w, report, err)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func parseTask(name string) crank.TaskID {
	parts := strings.Split(name, ".")
	t := crank.TaskID{Job: parts[0]}
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		if i+1 < len(parts) {
			*to, _ = strconv.Atoi(parts[i+1]) // a malformed name becomes a task that was not submitted
		}
	}
	return t
}

func writeOrderReply(w http.ResponseWriter, r crank.OrderReply, err error) {
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
	case r.Refusal != crank.RefusalNone:
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": r.ClockMs, "reason": r.Refusal})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": r.ClockMs})
	}
}

func writeRenewReport(w http.ResponseWriter, r crank.RenewReport, err error) {
	switch {
	case crank.KindOf(err) == crank.KindFenced && err != nil:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	active, finished := [][]any{}, [][]any{}
	for _, a := range r.Active {
		active = append(active, []any{a.Task.String(), a.Run, a.Checkpoint, int(a.Percent), a.Load})
	}
	for _, e := range r.Ended {
		finished = append(finished, []any{e.Number, e.Task.String(), e.Run, e.Kind, e.Checkpoint})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": r.ClockMs, "born": r.StartTimeMs, "active": active, "finished": finished})
}
