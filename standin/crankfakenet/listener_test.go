package crankfakenet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func listen(t *testing.T) (*Listener, *http.Client) {
	ports, err := NewPorts(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ports.Close) // others don't get the port of a listener that refuses meanwhile
	l, err := ports.Listen(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, &http.Client{Timeout: 300 * time.Millisecond}
}

func answers(l *Listener, c *http.Client) bool {
	res, err := c.Get("http://" + l.Addr())
	if err != nil {
		return false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return err == nil && string(text) == "here"
}

func TestListenerModes(t *testing.T) {
	for _, m := range []Mode{ModeSilent, ModeOneWay, ModeReset, ModeRefuse} {
		t.Run(string(m), func(t *testing.T) {
			l, c := listen(t)
			if !answers(l, c) {
				t.Fatal("no answer before")
			}
			if err := l.SetMode(m); err != nil {
				t.Fatal(err)
			}
			if answers(l, c) {
				t.Error("an answer meanwhile")
			}
			if err := l.SetMode(ModePass); err != nil {
				t.Fatal(err)
			}
			if !answers(l, c) {
				t.Error("no answer after")
			}
		})
	}
}

func TestOneWayRequestsArrive(t *testing.T) {
	l, c := listen(t)
	arrived := make(chan bool, 1)
	l.SetHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- true }))
	if err := l.SetMode(ModeOneWay); err != nil {
		t.Fatal(err)
	}
	if answers(l, c) {
		t.Error("an answer arrived")
	}
	select {
	case <-arrived:
	case <-time.After(time.Second):
		t.Error("the request did not arrive")
	}
}

func TestPortsAreDrawnOnce(t *testing.T) {
	ports, err := NewPorts(7)
	if err != nil {
		t.Fatal(err)
	}
	defer ports.Close()
	seen := make(map[string]bool)
	for range 20 {
		addr, err := ports.Draw()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s was drawn twice", addr)
		}
		seen[addr] = true
	}
}

func TestTakenPortIsPassedOver(t *testing.T) {
	ports, err := NewPorts(9)
	if err != nil {
		t.Fatal(err)
	}
	defer ports.Close()
	l, err := ports.Listen(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := net.Listen("tcp", l.Addr()); !IsTaken(err) {
		t.Errorf("second listener: error %v; want one that says that the address is in use", err)
	}
	taken, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports.first+1))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if other, err := ports.Draw(); err != nil || other == l.Addr() || other == taken.Addr().String() {
		t.Errorf("drew %s, error %v; want another address than the taken ones", other, err)
	}
}

func TestPortsOfTwoRigsAreApart(t *testing.T) {
	drawn := make(map[string]int)
	for rig := range 2 {
		ports, err := NewPorts(9)
		if err != nil {
			t.Fatal(err)
		}
		defer ports.Close()
		for range portsAProcess {
			addr, err := ports.Draw()
			if err != nil {
				t.Fatal(err)
			}
			if by, ok := drawn[addr]; ok && by != rig {
				t.Fatalf("%s was drawn by both", addr)
			}
			drawn[addr] = rig
		}
	}
}

func TestPortsAreDrawnAgainAfterAllOthers(t *testing.T) {
	ports, err := NewPorts(11)
	if err != nil {
		t.Fatal(err)
	}
	defer ports.Close()
	for range portsAProcess + 10 {
		if _, err := ports.Draw(); err != nil {
			t.Fatal(err)
		}
	}
}
