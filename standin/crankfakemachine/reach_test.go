package crankfakemachine

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakestore"
)

const testHeartbeat = 40 * time.Millisecond

// stage is a machine with one run, and what a client sees of it.
type stage struct {
	*Machine
	fleet *crankfakefleet.Fleet
	store *crankfakestore.Store
	id    string // of the worker with the run
	addr  string // at first
}

func newStage(t *testing.T) *stage {
	is := is.New(t)
	ports, err := crankfakenet.NewPorts(os.Getpid())
	is.NoErr(err)
	t.Cleanup(ports.Close)
	s := &stage{store: crankfakestore.New()}
	s.fleet = crankfakefleet.New(crankfakefleet.Config{
		Bounds:  crank.LeaseBounds{MaxLease: time.Minute},
		Specs:   func(string) (crank.StepJob, bool) { return crank.StepJob{Steps: []crank.Step{{Tasks: 1}}}, true },
		RunTime: func(crank.TaskID, string) time.Duration { return time.Minute },
	})
	s.Machine, err = Start(Config{
		Name: "w", Ports: ports, Heartbeat: testHeartbeat, Fleet: s.fleet, Dialer: s.fleet, Store: s.store,
		SetFault: func(string, crankfakefleet.Fault) {}, SetFailing: func(string, float64) {},
	})
	is.NoErr(err)
	t.Cleanup(s.Machine.Close)
	e, _ := s.Current()
	s.id, s.addr = e.ID, e.Addr
	_, err = s.fleet.LeasedWorker(e).Start(t.Context(), crank.RunOrder{Task: crank.TaskID{Job: "j"}, Run: 1, DeadlineMs: 60_000})
	is.NoErr(err)
	return s
}

// What a client sees of a call that is meant for the first worker.
const (
	seenAnswer  = "answer"
	seenTimeout = "timeout"
	seenRefused = "refused"
	seenReset   = "reset"
	seenOther   = "another worker"
)

func see(addr, id string) string {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := http.Client{Timeout: 150 * time.Millisecond, Transport: transport}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api/hold", strings.NewReader("{}"))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Cranberrycrank-Expected-Instance", id)
	res, err := c.Do(req)
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return seenRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return seenTimeout
	case err != nil:
		return seenReset
	}
	res.Body.Close()
	if res.StatusCode == http.StatusMisdirectedRequest {
		return seenOther
	}
	return seenAnswer
}

func (s *stage) see() string { return see(s.addr, s.id) }

// runs returns the number of runs that go on.
func (s *stage) runs() (n int) {
	for _, w := range s.fleet.Workers() {
		if w.Entry.ID == s.id {
			n += w.Runs
		}
	}
	return n
}

func (s *stage) listed() bool {
	return slices.ContainsFunc(s.store.Newest(crank.WorkerTopic), func(r crank.KeyedRecord) bool { return r.Key == s.id })
}

// beat lets heartbeats pass until an entry that is not renewed is removed.
func (s *stage) beat() {
	for until := time.Now().Add((silentBeats + 2) * testHeartbeat); time.Now().Before(until); time.Sleep(testHeartbeat / 2) {
		s.Beat()
	}
}

func TestWorkerOutOfReachRunsOn(t *testing.T) {
	seen := map[string]string{
		crankfakeplan.WaySilent: seenTimeout, crankfakeplan.WayOneWay: seenTimeout, crankfakeplan.WayReset: seenReset,
		crankfakeplan.WayRefuse: seenRefused, crankfakeplan.WayLate: seenTimeout, crankfakeplan.WayBusy: seenTimeout,
		crankfakeplan.WayCrowded: seenTimeout, crankfakeplan.WayMoved: seenRefused,
		crankfakeplan.WayTaken: seenOther, crankfakeplan.WayMovedTaken: seenOther,
	}
	for way, want := range seen {
		for _, store := range []string{crankfakeplan.StoreKept, crankfakeplan.StoreCut} {
			t.Run(way+" "+store, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newStage(t)
				is.Equal(s.see(), seenAnswer)
				d := crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive, Way: way, Store: store}
				end, err := s.Disturb(d)
				is.NoErr(err)
				is.Equal(s.see(), want)
				_, serves := s.Current()
				is.True(!serves)
				s.beat()
				is.Equal(s.listed(), store == crankfakeplan.StoreKept)
				is.Equal(s.runs(), 1)

				is.NoErr(end())
				e, serves := s.Current()
				is.True(serves)
				is.True(s.listed())
				is.Equal(s.runs(), 1)
				is.Equal(see(e.Addr, s.id), seenAnswer)
				is.Equal(e.ID, s.id)
				is.Equal(e.Addr != s.addr, way == crankfakeplan.WayMoved || way == crankfakeplan.WayMovedTaken)
				if e.Addr != s.addr {
					is.Equal(s.see(), want) // at the old address
				}
				is.Equal(len(s.fleet.Violations()), 0)
			})
		}
	}
}

func TestWorkerIsReachedBySomeHosts(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	end, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive, Way: crankfakeplan.WayRefuse}, 1, 2)
	is.NoErr(err)
	for n, want := range []string{seenAnswer, seenRefused, seenRefused, seenAnswer} {
		is.Equal(see(crankfakenet.AtHost(s.addr, n), s.id), want)
	}
	is.Equal(s.runs(), 1)
	is.NoErr(end())
	for n := range crankfakenet.Hosts {
		is.Equal(see(crankfakenet.AtHost(s.addr, n), s.id), seenAnswer)
	}
}

func TestLaterCutOffReplacesTheFirst(t *testing.T) {
	ways := []string{crankfakeplan.WayRefuse, crankfakeplan.WayCrowded, crankfakeplan.WayMoved, crankfakeplan.WayTaken, crankfakeplan.WayMovedTaken}
	for _, first := range ways {
		for _, second := range ways {
			t.Run(fmt.Sprint(first, " ", second), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newStage(t)
				d := crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive, Way: first}
				endFirst, err := s.Disturb(d)
				is.NoErr(err)
				d.Way = second
				endSecond, err := s.Disturb(d)
				is.NoErr(err)
				is.NoErr(endFirst())
				_, serves := s.Current()
				is.True(!serves) // the second lasts
				is.NoErr(endSecond())
				e, serves := s.Current()
				is.True(serves)
				is.Equal(see(e.Addr, s.id), seenAnswer)
				is.Equal(s.runs(), 1)
			})
		}
	}
}

func TestDrainingWorkerOutOfReachLeaves(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	leave, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.Drain})
	is.NoErr(err)
	back, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive, Way: crankfakeplan.WayReset})
	is.NoErr(err)
	is.NoErr(leave())
	is.Equal(s.runs(), 0)
	is.True(s.listed()) // until it has been silent for a while
	is.NoErr(back())
	is.Equal(s.see(), seenRefused)
	s.beat()
	is.True(!s.listed())
}

func TestWorkerServesThroughAGap(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	end, err := s.Disturb(crankfakeplan.Disturbance{
		Kind: crankfakeplan.CutOff, For: testHeartbeat / 2, How: crankfakeplan.BackAlive, Way: crankfakeplan.WayRefuse, Store: crankfakeplan.StoreKept,
	})
	is.NoErr(err)
	is.Equal(s.see(), seenRefused)
	_, serves := s.Current()
	is.True(serves)
	is.NoErr(end())
	is.Equal(s.see(), seenAnswer)
}

func TestLostWorkerIsNotBackAlive(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	_, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.Silence, How: crankfakeplan.BackNewID})
	is.NoErr(err)
	end, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, How: crankfakeplan.BackAlive})
	is.NoErr(err)
	is.True(end == nil)
}
