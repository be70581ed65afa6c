package crankfakeplatform

import (
	"encoding/json"

	crank "cranberrycrank"
)

// EncodeJob returns a submission in the platform's JSON format.
func EncodeJob(j crank.StepJob) []byte {
	body := map[string]any{"spec": j.Payload}
	var steps []any
	for _, s := range j.Steps {
		steps = append(steps, map[string]any{
			"count": s.Tasks, "cpu": s.Demand.MilliCores, "memory_limit_mb": s.Demand.MemoryMiB, "gpu": s.Demand.Accelerators,
			"estimated_duration_ms": s.RunTime.Milliseconds(), "after": s.After, "checkpointing": s.Checkpoints, "gang": s.Gang,
			"same_rack": s.SameRack, "requirements": s.Label, "affinity": s.DataRack, "anti_affinity": s.MaxPerWorker,
			"long_running": s.LongRunning, "fill_count": s.BestEffort,
			"target_ms": s.Latency.Milliseconds(), "max_unavailable": s.MaxUnavailable,
		})
	}
	body["steps"] = steps
	if j.Repeat.Times > 0 {
		body["repetitions"], body["start_time_ms"], body["interval_ms"] = j.Repeat.Times, j.Repeat.First.UnixMilli(), j.Repeat.Every.Milliseconds()
	}
	return encode(body)
}

// Queue is a queue of a Configuration.
type Queue struct {
	Name, Host, Prefix, Pool string
	crank.StepJob            // its settings
}

// Configuration is what operators publish.
type Configuration struct {
	Version    int
	Queues     []Queue
	Keys       map[string][]string // by workspace
	Guaranteed int                 // accelerators of each workspace
}

// Encode returns the configuration in the platform's JSON format.
func (c Configuration) Encode() []byte {
	var routes, tenants []any
	for _, q := range c.Queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": q.Host, "path_prefix": q.Prefix, "service": q.Pool, "priority": q.Priority,
			"max_attempts": q.Attempts, "slack_factor": q.SlackFactor, "target_latency_ms": q.TargetLatency.Milliseconds(),
		})
	}
	for name, keys := range c.Keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "guaranteed_gpus": map[string]int{"gpu": c.Guaranteed}})
	}
	return encode(map[string]any{"version": c.Version, "routes": routes, "tenants": tenants})
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // these values always have a JSON form
	}
	return data
}
