package crankfakemachine

import (
	"os"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakestore"
)

func TestUnfitWorkerIsFitAgainAtTheEnd(t *testing.T) {
	ports, err := crankfakenet.NewPorts(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	defer ports.Close()
	var fault crankfakefleet.Fault
	var failing float64
	fleet := crankfakefleet.New(crankfakefleet.Config{})
	m, err := Start(Config{
		Name: "w", Entry: crank.WorkerEntry{}, Ports: ports, Heartbeat: time.Second, Fleet: fleet, Dialer: fleet, Store: crankfakestore.New(),
		SetFault:   func(_ string, f crankfakefleet.Fault) { fault = f },
		SetFailing: func(_ string, share float64) { failing = share },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	for _, d := range []crankfakeplan.Disturbance{
		{Kind: crankfakeplan.Fail, How: crankfakeplan.FailAll}, {Kind: crankfakeplan.Fail, How: crankfakeplan.FailSome},
		{Kind: crankfakeplan.Slow}, {Kind: crankfakeplan.Pretend}, {Kind: crankfakeplan.Flap}, {Kind: crankfakeplan.Unwell},
	} {
		end, err := m.Disturb(d)
		if err != nil {
			t.Fatal(err)
		}
		if fault == (crankfakefleet.Fault{}) && failing == 0 {
			t.Errorf("%s: nothing is disturbed", d)
		}
		if err := end(); err != nil {
			t.Fatal(err)
		}
		if _, serves := m.Current(); fault != (crankfakefleet.Fault{}) || failing != 0 || !serves {
			t.Errorf("%s: fault %+v, failing %v, serves %v after the end", d, fault, failing, serves)
		}
	}
}
