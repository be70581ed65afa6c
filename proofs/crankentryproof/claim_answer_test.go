package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// A claim or a heartbeat without an answer is judged by what is read back of it: the term
// is held, once, and tasks start in it.
func TestClaimWithoutAnswerHoldsOnceItIsRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault crankfakestore.Fault
	}{
		{"answer_lost", crankfakestore.Fault{DropResponse: true}},
		{"stored_late", crankfakestore.Fault{EffectDelay: 300 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, cl *cluster) {
				is := is.New(t)
				cl.setUp(4)
				term := cl.termNumber()
				cl.store.SetTermFaults(func(_, call string) crankfakestore.Fault {
					if call != "append" {
						return crankfakestore.Fault{}
					}
					return c.fault
				})
				cl.kill(cl.leader())
				time.Sleep(5 * time.Second)
				held, leader := cl.termNumber(), cl.leader()
				is.True(held > term)
				is.True(leader != "")
				time.Sleep(5 * time.Second)
				is.Equal(cl.termNumber(), held) // its heartbeats are read too
				is.NoErr(cl.submit(leader, "patient", "job1", independentTasks(4, time.Second)))
				cl.awaitPhase(leader, "patient", "job1", crank.PhaseCompleted, 5*time.Second)
			})
		})
	}
}
