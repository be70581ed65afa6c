package crankfakenet

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestGroupIsOutOfReachOfSomeHosts(t *testing.T) {
	is := is.New(t)
	ports, err := NewPorts(3)
	is.NoErr(err)
	defer ports.Close()
	g, err := ports.ListenAtAllHosts(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "here") }))
	is.NoErr(err)
	defer g.Close()
	reached := func() (reached []int) {
		for n := range Hosts {
			if res, err := newClient().Get("http://" + AtHost(g.Addr(), n)); err == nil {
				res.Body.Close()
				reached = append(reached, n)
			}
		}
		return reached
	}
	is.Equal(reached(), []int{0, 1, 2, 3})
	is.NoErr(g.SetMode(ModeRefuse, 1, 3))
	is.Equal(reached(), []int{0, 2})
	is.NoErr(g.SetMode(ModePass))
	is.Equal(reached(), []int{0, 1, 2, 3})
	is.NoErr(g.SetMode(ModeSilent))
	is.Equal(len(reached()), 0)
	is.NoErr(g.Close())
}
