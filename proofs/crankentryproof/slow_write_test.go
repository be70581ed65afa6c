package crankentryproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// A planned gang was given up whenever a write took longer than 500 ms, and planned anew at
// other workers, while small tasks came and went.
func TestGangStartsWhileSmallTasksComeAndWritesAreSlow(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 520 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(8)
				time.Sleep(settled)
				c.update(func() {
					c.storeFaults = func(_, call string) crankfakestore.Fault {
						if call != "append" {
							return crankfakestore.Fault{}
						}
						return crankfakestore.Fault{Delay: delay}
					}
				})
				var callers sync.WaitGroup
				defer callers.Wait()
				for i := range 60 {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * 150 * time.Millisecond)
						_ = c.submit(c.leader(), "patient", fmt.Sprintf("small%d", i), independentTasks(1, 700*time.Millisecond))
					})
				}
				time.Sleep(2 * time.Second)
				gang := gangStep(4, 5, time.Second)
				gang.SameRack = false
				is.NoErr(c.submit(c.leader(), "patient", "gang", gang))
				begun := time.Now()
				for !c.fleet.HasStarted("gang") && time.Since(begun) < 15*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				is.True(time.Since(begun) < 3*time.Second)
			})
		})
	}
}
