package crankpack

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFitAgreesWithPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, _ := drawPool(t)
		q := drawRequest(t)
		fit := pool.Fit(q, FreeCapacity)
		is := is.New(t)
		is.True(fit.Rack <= fit.Pool)
		room := fit.Pool
		if q.Step.SameRack {
			room = fit.Rack
		}
		is.Equal(pool.Place(q, FreeCapacity) != nil, room == q.Tasks)
	})
}
