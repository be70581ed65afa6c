package crankfakeplan

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

func scope() Scope {
	s := Scope{Zones: []string{"north", "east"}, Traffic: 30 * time.Second}
	for i := range 10 {
		s.Instances = append(s.Instances, fmt.Sprintf("north-%d", i))
		s.Workers = append(s.Workers, fmt.Sprintf("north-w%d", i), fmt.Sprintf("east-w%d", i))
	}
	return s
}

func TestPlanIsAFunctionOfTheSeed(t *testing.T) {
	if !reflect.DeepEqual(Draw(scope(), 5), Draw(scope(), 5)) {
		t.Error("two plans of one seed differ")
	}
	if reflect.DeepEqual(Draw(scope(), 5), Draw(scope(), 6)) {
		t.Error("the plans of two seeds are the same")
	}
}

func TestWrittenPlanReadsTheSame(t *testing.T) {
	for seed := range uint64(400) {
		p := Draw(scope(), seed)
		if seed >= 200 {
			p = Draw(dayScope(), seed)
		}
		var text bytes.Buffer
		if err := p.Write(&text); err != nil {
			t.Fatal(err)
		}
		back, err := Read(&text)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(p, back) {
			t.Fatalf("seed %d: read %v; want %v", seed, back, p)
		}
	}
}

func dayScope() Scope {
	s := scope()
	s.Recovery = 15 * time.Second
	return s
}

func TestEveryKindButEvacuationIsDrawn(t *testing.T) {
	unfit := map[Kind]bool{Fail: true, Slow: true, Pretend: true, Flap: true}
	for name, c := range map[string]struct {
		scope   Scope
		without map[Kind]bool
	}{"with disturbances after the traffic": {scope(), unfit}, "with a recovery": {dayScope(), nil}} {
		drawn := map[Kind]bool{Evacuate: true}
		for seed := range uint64(500) {
			for _, d := range Draw(c.scope, seed) {
				drawn[d.Kind] = true
			}
		}
		for _, k := range kinds {
			if drawn[k] == c.without[k] {
				t.Errorf("%s: drawn: %v for %s", name, drawn[k], k)
			}
		}
	}
}

func TestDisturbancesEndBeforeTheRecovery(t *testing.T) {
	latest := time.Duration(0)
	for seed := range uint64(500) {
		for _, d := range Draw(dayScope(), seed) {
			if d.At < 0 || d.At >= dayScope().Traffic || d.At+d.For > dayScope().Traffic+lastEnd {
				t.Errorf("seed %d: %s", seed, d)
			}
			latest = max(latest, d.At)
		}
	}
	if latest < dayScope().Traffic-time.Second {
		t.Errorf("the last disturbance begins at %v; want it at the end of the main traffic", latest)
	}
}

func TestFaultyPlanIsRefused(t *testing.T) {
	for _, text := range []string{"1s", "x kill", "1s explode", "1s kill for=x", "1s kill color=red"} {
		if _, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
