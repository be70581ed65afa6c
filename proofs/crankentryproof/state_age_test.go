package crankentryproof

import (
	"context"
	"log/slog"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/internal/crankjobs"

	"github.com/matryer/is"
)

// silentLeader can't be asked.
type silentLeader struct{ crank.Leader }

// AwaitEnd implements crank.Leader.
func (silentLeader) AwaitEnd(context.Context, string, time.Duration) (crank.Phase, error) {
	return "", crank.Fail("test", crank.KindUnavailable, "no")
}

// cutOffLeader has not read what is stored.
type cutOffLeader struct{ crank.Leader }

// AwaitEnd implements crank.Leader.
func (cutOffLeader) AwaitEnd(ctx context.Context, _ string, wait time.Duration) (crank.Phase, error) {
	crankfeed.Sleep(ctx, wait)
	return crank.PhaseRunning, nil
}

// An instance whose configuration is current told that a job is in progress seconds after
// another one had told that it is completed.
func TestJobIsNotInProgressAfterItWasCompleted(t *testing.T) {
	for name, leader := range map[string]crank.Leader{"silent_leader": silentLeader{}, "leader_that_is_cut_off": cutOffLeader{}} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.setUp(4)
				is.NoErr(c.submit("a", "patient", "job1", independentTasks(1, 2*time.Second)))
				jobs := crankjobs.New(slog.New(slog.DiscardHandler))
				follow := func() (stop func()) {
					ctx, stop := context.WithCancel(t.Context())
					go func() {
						_ = crankfeed.NewFollower(crankfeed.FollowerConfig{
							Store: c.store.Client("reader"), Topic: crank.JobTopic, Logger: slog.New(slog.DiscardHandler),
							MinInterval: crankfeed.Constant(100 * time.Millisecond), Sink: jobs,
						}).Run(ctx) // returns when its context ends
					}()
					return stop
				}
				stop := follow()
				time.Sleep(time.Second)
				config := c.running["b"].Requests.Config
				config.Jobs, config.Leader = jobs, leader
				reader := crankgate.New(config)
				ask := func() (crank.Phase, error) {
					r, err := reader.Route(t.Context(), crankgate.Request{Host: host, Path: "/patient/job1", Key: c.key})
					is.NoErr(err)
					return reader.Phase(t.Context(), r)
				}
				got, err := ask()
				is.NoErr(err)
				is.Equal(got, crank.PhaseRunning)

				stop()
				c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 5*time.Second)
				time.Sleep(3500 * time.Millisecond)
				got, err = ask()
				is.Equal(got, crank.Phase(""))
				is.Equal(crank.KindOf(err), crank.KindUnavailable)

				followed := make(chan func(), 1)
				go func() {
					time.Sleep(500 * time.Millisecond)
					followed <- follow()
				}()
				got, err = ask()
				is.NoErr(err)
				is.Equal(got, crank.PhaseCompleted) // it was read while the request waited
				(<-followed)()
			})
		})
	}
}
