package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// Tasks that had started between the lists of a report and the reading of its clock counted
// as not listed, and were started elsewhere.
func TestRunThatStartedAfterTheListsWereTakenIsKept(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(8)
		time.Sleep(settled)
		c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.ListAge = 300 * time.Millisecond })
		const jobs, tasks = 10, 6
		for i := range jobs {
			is.NoErr(c.submit("a", "patient", fmt.Sprintf("job%d", i), independentTasks(tasks, 4*time.Second)))
			time.Sleep(400 * time.Millisecond)
		}
		for i := range jobs {
			c.awaitPhase("a", "patient", fmt.Sprintf("job%d", i), crank.PhaseCompleted, 30*time.Second)
		}
		is.Equal(c.fleet.Runs(), jobs*tasks) // each ran once
	})
}
