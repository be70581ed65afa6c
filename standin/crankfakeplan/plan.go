// Package crankfakeplan holds the disturbances that an emulated site meets: drawn
// from a seed, or read from a file.
package crankfakeplan

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakecrowd"
)

// Kind is the kind of a Disturbance.
type Kind string

// Kinds of disturbances.
const (
	// Of instances.
	Terminate Kind = "terminate"  // SIGTERM, a start after the exit
	Kill      Kind = "kill"       // SIGKILL, a start at the end
	Pause     Kind = "pause"      // SIGSTOP, SIGCONT at the end
	LosePower Kind = "lose-power" // silent at once, a start at the end
	HangUp    Kind = "hang-up"    // SIGHUP
	CutStore  Kind = "cut-store"  // the instance's connections to the store
	// CutCallers and CutPeers cut the connections of callers and of other instances to an
	// instance.
	CutCallers Kind = "cut-callers"
	CutPeers   Kind = "cut-peers"
	Crowd      Kind = "crowd" // misbehaving callers at each of the instances
	// Of workers.
	Drain    Kind = "drain"    // leaves in order after the drain time
	Take     Kind = "take"     // draining, gone at the end
	Remove   Kind = "remove"   // gone without notice
	Silence  Kind = "silence"  // lost power, up at the end
	CutOff   Kind = "cut-off"  // runs on without a connection
	LateCall Kind = "late"     // starts take effect late, their answers are lost
	LoseCall Kind = "lose"     // answers of calls are lost
	Unwell   Kind = "unwell"   // refuses all calls
	Fail     Kind = "fail"     // its runs fail, or some of them
	Slow     Kind = "slow"     // answers late
	Pretend  Kind = "pretend"  // renews leases but refuses starts
	Flap     Kind = "flap"     // refuses all calls by turns
	Evacuate Kind = "evacuate" // a zone
	// Of the store and the operator.
	SlowStore Kind = "slow-store"
	DownStore Kind = "down-store"
	Compact   Kind = "compact"
	Configure Kind = "configure" // a new version
	Withdraw  Kind = "withdraw"  // a key
)

var kinds = []Kind{
	Terminate, Kill, Pause, LosePower, HangUp, CutStore, CutCallers, CutPeers, Crowd, Drain, Take, Remove, Silence, CutOff, LateCall, LoseCall,
	Unwell, Fail, Slow, Pretend, Flap, Evacuate, SlowStore, DownStore, Compact, Configure, Withdraw,
}

// Ways in which a worker is back after Silence and CutOff.
const (
	BackSameID = "same-id" // a new incarnation
	BackNewID  = "new-id"  // a new worker at the address
	BackAlive  = "alive"   // the incarnation that was cut off
)

// Ways of Fail.
const (
	FailAll  = "all"
	FailSome = "some"
)

// Disturbance is one line of a plan.
type Disturbance struct {
	At      time.Duration // after the start of the traffic
	Kind    Kind
	Targets []string      // instances, workers, "leader", "all" or "zone:NAME"
	For     time.Duration // 0 where nothing ends
	How     string        // the way in which the address is out of reach, or how a worker is back
	// Of CutOff.
	Way   string   // in which the worker is out of reach, silent if empty
	Store string   // whether it reaches the store meanwhile
	From  []string // instances that don't reach it, "leader" or "zone:NAME"; all if empty
	// Of Crowd.
	Pattern     crankfakecrowd.Pattern
	Connections int // at each instance
}

// String returns the line of the disturbance in a plan.
func (d Disturbance) String() string {
	s := fmt.Sprintf("%s %s", d.At, d.Kind)
	if len(d.Targets) > 0 {
		s += " targets=" + strings.Join(d.Targets, ",")
	}
	if d.For > 0 {
		s += " for=" + d.For.String()
	}
	for _, p := range append([][2]string{{"how", d.How}, {"pattern", string(d.Pattern)}}, d.cutOffValues()...) {
		if p[1] != "" {
			s += " " + p[0] + "=" + p[1]
		}
	}
	if d.Connections > 0 {
		s += fmt.Sprintf(" connections=%d", d.Connections)
	}
	return s
}

// Plan is a list of disturbances in the order of their times.
type Plan []Disturbance

// Write writes a plan as text, one disturbance a line.
func (p Plan) Write(w io.Writer) error {
	for _, d := range p {
		if _, err := fmt.Fprintln(w, d); err != nil {
			return crank.Wrap("plan write", crank.KindUnavailable, err)
		}
	}
	return nil
}

// Read reads a plan. Empty lines and lines that begin with # are ignored.
func Read(r io.Reader) (Plan, error) {
	const op = "plan read"
	var p Plan
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		d, err := parse(strings.Fields(line))
		if err != nil {
			return nil, crank.Fail(op, crank.KindInvalid, "line %d: %v", n, err)
		}
		p = append(p, d)
	}
	p.sort()
	return p, crank.Wrap(op, crank.KindInvalid, lines.Err())
}

func parse(fields []string) (d Disturbance, err error) {
	if len(fields) < 2 {
		return d, fmt.Errorf("a time and a kind are required")
	}
	if d.At, err = time.ParseDuration(fields[0]); err != nil {
		return d, err
	}
	if d.Kind = Kind(fields[1]); !slices.Contains(kinds, d.Kind) {
		return d, fmt.Errorf("unknown kind %q", d.Kind)
	}
	for _, f := range fields[2:] {
		key, value, _ := strings.Cut(f, "=")
		switch key {
		case "targets":
			d.Targets = strings.Split(value, ",")
		case "for":
			if d.For, err = time.ParseDuration(value); err != nil {
				return d, err
			}
		case "how":
			d.How = value
		case "way":
			d.Way = value
		case "store":
			d.Store = value
		case "from":
			d.From = strings.Split(value, ",")
		case "pattern":
			d.Pattern = crankfakecrowd.Pattern(value)
		case "connections":
			if d.Connections, err = strconv.Atoi(value); err != nil {
				return d, err
			}
		default:
			return d, fmt.Errorf("unknown key %q", key)
		}
	}
	return d, d.check()
}

// Has reports whether the plan has a disturbance of a kind.
func (p Plan) Has(k Kind) bool {
	return slices.ContainsFunc(p, func(d Disturbance) bool { return d.Kind == k })
}

func (p Plan) sort() {
	slices.SortStableFunc(p, func(a, b Disturbance) int { return int(a.At - b.At) })
}
