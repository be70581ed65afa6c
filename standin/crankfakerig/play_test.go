package crankfakerig

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakestore"
)

func TestHostsOfInstances(t *testing.T) {
	is := is.New(t)
	r := &Rig{store: crankfakestore.New()}
	r.store.Put(crank.TermTopic, "term", []byte(`{"Holder":"north-3/x"}`))
	for n := range 6 {
		zone := []string{"north", "south"}[n%2]
		r.instances = append(r.instances, &crankfakeinstance.Instance{Config: crankfakeinstance.Config{
			Name: fmt.Sprintf("%s-%d", zone, n+1), Zone: zone, Host: n % crankfakenet.Hosts,
		}})
	}
	for _, c := range []struct {
		from []string
		want []int
		ok   bool
	}{
		{nil, nil, true},
		{[]string{"leader"}, []int{2}, true},
		{[]string{"north-1", "south-2"}, []int{0, 1}, true},
		{[]string{"zone:north"}, []int{0, 2}, true}, // its last instance shares a host with its first
		{[]string{"nobody"}, nil, false},
	} {
		hosts, ok := r.hostsOf(t.Context(), c.from)
		is.Equal(hosts, c.want)
		is.Equal(ok, c.ok)
	}
}

func TestAllTargetsAreDisturbed(t *testing.T) {
	is := is.New(t)
	ended := make(chan string, 2)
	failure := errors.New("no")
	ends, err := disturbAll([]string{"a", "b", "gone", "odd"}, func(name string) (func() error, error) {
		switch name {
		case "gone":
			return nil, nil
		case "odd":
			return nil, failure
		}
		return func() error { ended <- name; return nil }, nil
	})
	is.True(errors.Is(err, failure))
	is.Equal(len(ends), 2)
	for _, end := range ends {
		is.NoErr(end())
	}
	names := []string{<-ended, <-ended}
	slices.Sort(names)
	is.Equal(names, []string{"a", "b"})
}
