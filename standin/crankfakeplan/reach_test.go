package crankfakeplan

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCutOffReadsAsWritten(t *testing.T) {
	for _, line := range []string{
		"3s cut-off targets=north-w1 for=5s how=alive",
		"3s cut-off targets=north-w1,zone:east for=5s how=alive way=refuse store=kept from=leader",
		"3s cut-off targets=north-w1 for=5s how=same-id way=reset store=cut from=north-1,zone:east",
		"3s cut-off targets=north-w1 for=200ms how=alive way=moved-taken store=kept",
		"3s cut-callers targets=leader for=2s how=full-queue",
		"3s cut-peers targets=leader for=2s how=refuse",
		"3s down-store for=2s how=refuse",
	} {
		is := is.New(t)
		p, err := Read(strings.NewReader(line))
		is.NoErr(err)
		is.Equal(p[0].String(), line)
	}
}

func TestUnknownWayIsRefused(t *testing.T) {
	for line, want := range map[string]string{
		"1s cut-off how=later":                     "known: same-id, new-id, alive",
		"1s cut-off how=alive way=slowly":          "cut-off has no way=slowly; known: silent, one-way",
		"1s cut-off how=alive store=half":          "cut-off has no store=half; known: kept, cut",
		"1s cut-off how=new-id way=moved":          "way=moved requires how=alive",
		"1s cut-off how=alive way=taken from=a":    "way=taken is the same from everywhere",
		"1s silence how=same-id way=refuse":        `silence has no way, got "refuse"`,
		"1s kill targets=leader from=a":            `kill has no from, got "a"`,
		"1s take how=none":                         "take has no how=none; known: silent",
		"1s down-store how=late-answers":           "down-store has no how=late-answers",
		"1s kill how=silent":                       `kill has no how, got "silent"`,
		"1s cut-callers targets=all how=":          "cut-callers requires how",
		"1s cut-store targets=all":                 "cut-store requires how",
		"1s cut-off targets=a for=1s how=alive x=": `unknown key "x"`,
	} {
		_, err := Read(strings.NewReader(line))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v; want one with %q", line, err, want)
		}
	}
}

func TestEveryWayIsDrawn(t *testing.T) {
	for name, s := range map[string]Scope{"with disturbances after the traffic": scope(), "with a recovery": dayScope()} {
		t.Run(name, func(t *testing.T) {
			drawn := make(map[string]int)
			for seed := range uint64(1000) {
				for _, d := range Draw(s, seed) {
					noteWay(drawn, d)
				}
			}
			for _, way := range cutOffWays {
				for _, store := range []string{StoreKept, StoreCut} {
					if key := "alive " + way + " " + store; drawn[key] == 0 {
						t.Errorf("not drawn: %s", key)
					}
				}
			}
			for _, way := range callWays {
				for _, key := range []string{"restarted " + way, "leader " + way, "some " + way, "cut-callers " + way, "cut-peers " + way} {
					if drawn[key] == 0 {
						t.Errorf("not drawn: %s", key)
					}
				}
			}
			for _, way := range addressWays {
				for _, key := range []string{"cut-store " + way, "down-store " + way} {
					if drawn[key] == 0 {
						t.Errorf("not drawn: %s", key)
					}
				}
			}
			if drawn["gap"] == 0 {
				t.Error("no listener is gone for a moment")
			}
		})
	}
}

// noteWay counts what a disturbance is an example of.
func noteWay(drawn map[string]int, d Disturbance) {
	switch d.Kind {
	case CutStore, DownStore:
		drawn[string(d.Kind)+" "+d.How]++
	case CutCallers, CutPeers:
		drawn[string(d.Kind)+" "+d.How]++
	case CutOff:
		switch {
		case d.How == BackAlive:
			drawn["alive "+d.Way+" "+d.Store]++
		default:
			drawn["restarted "+d.Way]++
		}
		switch {
		case len(d.From) == 1 && d.From[0] == "leader":
			drawn["leader "+d.Way]++
		case len(d.From) > 0:
			drawn["some "+d.Way]++
		}
		if d.Way == WayRefuse && d.For < time.Second {
			drawn["gap"]++
		}
	}
}

func TestCutOffsAreDrawnTogetherWithOthers(t *testing.T) {
	near := make(map[Kind]int) // disturbances of the same moments as a cut-off of a living worker
	for seed := range uint64(300) {
		p := Draw(scope(), seed)
		for _, c := range p {
			if c.Kind != CutOff || c.How != BackAlive {
				continue
			}
			for _, d := range p {
				isLeader := len(d.Targets) == 1 && d.Targets[0] == "leader"
				isOther := d.Kind == DownStore || d.Kind == Drain || (isLeader && d.Kind != CutStore && d.Kind != CutCallers && d.Kind != CutPeers)
				if isOther && d.At < c.At+c.For && c.At < d.At+max(d.For, 2*time.Second) {
					near[d.Kind]++
				}
			}
		}
	}
	for _, k := range []Kind{LosePower, Kill, Terminate, Pause, DownStore, Drain} {
		if near[k] == 0 {
			t.Errorf("no cut-off is drawn together with %s", k)
		}
	}
}

func TestStoreIsBackBeforeJobsAreAskedFor(t *testing.T) {
	s := scope()
	s.Asked = s.Traffic + 14*time.Second
	late := 0
	for seed := range uint64(2000) {
		for _, d := range Draw(s, seed) {
			if d.Kind != DownStore {
				continue
			}
			answers := d.How == WayRefuse || d.How == WayReset
			if end := d.At + d.For; answers && (end > s.Asked-askingMargin || d.For <= 0) {
				t.Errorf("seed %d: %s", seed, d)
			} else if end > s.Asked {
				late++
			}
		}
	}
	if late == 0 {
		t.Error("no outage without answers lasts until the jobs are asked for")
	}
}
