package crankfakerig

import (
	"context"
	"fmt"
	"sync"

	"cranberrycrank/standin/crankfakecrowd"
	"cranberrycrank/standin/crankfakeplan"
)

// Limits that misbehaving callers stay within or just exceed. The emulated operator
// publishes none; these are the platform's usual ones.
const (
	crowdHeadBytes = 16 << 10
	crowdBodyBytes = 256 << 10
)

// playCrowd lets misbehaving callers loose on the processes of instances, all if none is
// named. None of their requests is a valid job.
func (r *Rig) playCrowd(ctx context.Context, d crankfakeplan.Disturbance) error {
	targets := d.Targets
	if len(targets) == 0 {
		targets = []string{"all"}
	}
	names := r.resolveInstances(ctx, targets)
	queue, key := r.Site.Classes[0].Name, "key-of-tenant-0"
	r.logPlay(d, "begin", names)
	playing, cancel := context.WithTimeout(ctx, d.For)
	defer cancel()
	var crowds sync.WaitGroup
	for _, name := range names {
		crowd := crankfakecrowd.New(crankfakecrowd.Config{
			Addr: r.instance(name).DirectAddr(), Host: host, Path: "/" + queue + "/crowd", Header: keyField + ": " + key + "\r\n",
			Pattern: d.Pattern, Connections: d.Connections, HeadBytes: crowdHeadBytes, BodyBytes: crowdBodyBytes,
		})
		crowds.Go(func() {
			crowd.Run(playing)
			fmt.Fprintf(r.playFile, "crowd %s at %s: %+v\n", d.Pattern, name, crowd.Counts())
		})
	}
	crowds.Wait()
	r.logPlay(d, "end", names)
	return nil
}
