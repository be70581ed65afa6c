package crankfakenet

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFrontRefusesWithoutAProcess(t *testing.T) {
	is := is.New(t)
	behind, _ := listen(t)
	ports, err := NewPorts(5)
	is.NoErr(err)
	defer ports.Close()
	f, err := ports.Front(behind.Addr())
	is.NoErr(err)
	defer f.Close()
	refuses := func() bool {
		err, _ := call(t, f.listener, newClient())
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	is.True(refuses())
	is.NoErr(f.Begin())
	is.True(answers(f.listener, newClient()))
	is.NoErr(f.SetMode(ModeReset))
	is.True(!answers(f.listener, newClient()))
	is.NoErr(f.End())
	is.True(refuses())
	is.NoErr(f.Begin())
	is.True(!answers(f.listener, newClient())) // the mode lasts
	is.NoErr(f.SetMode(ModePass))
	is.True(answers(f.listener, newClient()))
}

func TestFrontAwaitsTheProcess(t *testing.T) {
	is := is.New(t)
	behind, _ := listen(t)
	is.NoErr(behind.SetMode(ModeRefuse))
	ports, err := NewPorts(5)
	is.NoErr(err)
	defer ports.Close()
	f, err := ports.Front(behind.Addr())
	is.NoErr(err)
	defer f.Close()
	for _, comes := range []bool{false, true} {
		begun := make(chan error)
		go func() { begun <- f.Begin() }()
		select {
		case <-begun:
			t.Fatal("begun without a process")
		case <-time.After(3 * awaitPeriod):
		}
		if comes {
			is.NoErr(behind.SetMode(ModePass))
		} else {
			is.NoErr(f.End())
		}
		is.NoErr(<-begun)
		is.Equal(answers(f.listener, newClient()), comes)
	}
}
