package crankfakerig

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplatform"
)

const host = "hall.example"

// operator publishes configurations.
type operator struct {
	rig     *Rig
	mu      sync.Mutex
	version int
	keys    map[string][]string
}

func newOperator(r *Rig) *operator {
	o := &operator{rig: r, version: 1, keys: make(map[string][]string)}
	for i := range r.Site.Bounds.Workspaces {
		name := fmt.Sprintf("tenant-%d", i)
		o.keys[name] = []string{"key-of-" + name, "spare-key-of-" + name}
	}
	return o
}

// publish writes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 2
	workers := 0
	for _, z := range o.rig.Site.Zones {
		workers += z.Workers
	}
	c := crankfakeplatform.Configuration{
		Version: o.version, Keys: o.keys,
		Guaranteed: int(float64(workers*o.rig.Site.Worker.Accelerators)*o.rig.Site.Bounds.GuaranteedShare) / len(o.keys),
	}
	for _, class := range o.rig.Site.Classes {
		c.Queues = append(c.Queues, crankfakeplatform.Queue{
			Name: class.Name, Host: host, Prefix: "/" + class.Name + "/", Pool: pool,
			StepJob: crank.StepJob{Priority: class.Priority, Attempts: class.Attempts, SlackFactor: class.Slack, TargetLatency: class.Target},
		})
	}
	o.rig.store.Put(crank.OperatorTopic, "config", c.Encode())
}

// withdraw withdraws a spare key and checks that calm instances refuse it.
func (o *operator) withdraw(ctx context.Context) {
	o.mu.Lock()
	key := ""
	for i := range len(o.keys) {
		name := fmt.Sprintf("tenant-%d", i)
		if keys := o.keys[name]; len(keys) > 1 {
			key, o.keys[name] = keys[1], keys[:1]
			break
		}
	}
	o.mu.Unlock()
	if key == "" {
		return
	}
	o.publish()
	if sleep(ctx, o.rig.Site.Bounds.ConfigTime+o.rig.Site.Bounds.CancelTime) != nil {
		return
	}
	for _, i := range o.rig.instances {
		calm := o.rig.calmBut(1)
		a := o.rig.send(ctx, http.MethodGet, i.Addr(), "/"+o.rig.Site.Classes[0].Name+"/0000000000000000", key, nil)
		if a.status != 0 && a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable && calm {
			o.rig.violate("withdrawn key %s got %d from %s", key, a.status, i.Name)
		}
	}
}
