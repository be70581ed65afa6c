package crankfakerig

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"cranberrycrank/standin/crankfakesite"
)

// pendingPeriod is the time between two requests for the number of pending jobs.
const pendingPeriod = time.Second

// askPending asks instances for the number of pending jobs of each queue until the context
// ends. The numbers are checked while nothing disturbs the site.
func (r *Rig) askPending(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 3e6))
	for sleep(ctx, pendingPeriod) == nil {
		queues := make(map[string]crankfakesite.Job) // to any job of theirs
		for _, j := range r.watch.Accepted() {
			queues[j.Queue] = j
		}
		for queue, j := range queues {
			i, asked := r.instances[rng.IntN(len(r.instances))], time.Now()
			a := r.send(ctx, http.MethodGet, i.Addr(), "/"+queue+"/", key(j), nil)
			if a.status != http.StatusOK || !r.calm() {
				continue
			}
			var body struct{ Pending *int }
			if err := json.Unmarshal([]byte(a.text), &body); err != nil || body.Pending == nil {
				r.violate("number of pending jobs of queue %s can't be read: %q", queue, a.text)
				continue
			}
			r.watch.CheckPending(queue, *body.Pending, asked)
		}
	}
}
