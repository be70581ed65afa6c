package crankfakeplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Ways in which an address is out of reach, of a Disturbance's How and Way.
const (
	WaySilent  = "silent"
	WayOneWay  = "one-way" // requests arrive, answers don't
	WayReset   = "reset"
	WayRefuse  = "refuse" // nothing listens
	WayLate    = "late-answers"
	WayBusy    = "no-accept" // open connections serve on, new ones wait
	WayCrowded = "full-queue"
)

// Ways of CutOff alone, for workers that are back alive.
const (
	WayMoved      = "moved"       // to another address; nothing listens at the old one
	WayTaken      = "taken"       // another worker has the address meanwhile
	WayMovedTaken = "moved-taken" // to another address; another worker has the old one
)

// Whether a worker reaches the store while it is out of reach.
const (
	StoreKept = "kept" // its entry stays
	StoreCut  = "cut"  // its entry lapses; the default
)

var (
	addressWays = []string{WaySilent, WayOneWay, WayReset, WayRefuse}
	callWays    = append(slices.Clone(addressWays), WayLate, WayBusy, WayCrowded)
	moveWays    = []string{WayMoved, WayTaken, WayMovedTaken}
	cutOffWays  = append(slices.Clone(callWays), moveWays...)
)

// hows holds the values of How by kind. Other kinds have none.
var hows = map[Kind][]string{
	CutStore: addressWays, DownStore: addressWays, CutCallers: callWays, CutPeers: callWays, Take: addressWays, Remove: addressWays,
	Silence: {BackSameID, BackNewID}, CutOff: {BackSameID, BackNewID, BackAlive}, Fail: {FailAll, FailSome},
}

// IsMove reports whether a worker or its address goes elsewhere.
func (d Disturbance) IsMove() bool { return slices.Contains(moveWays, d.Way) }

// CallWay returns the way in which calls to a worker that is cut off fail.
func (d Disturbance) CallWay() string { return cmp.Or(d.Way, WaySilent) }

// check returns an error for values that the kind doesn't have.
func (d Disturbance) check() error {
	if err := d.checkCrowd(); err != nil {
		return err
	}
	if d.How == "" && slices.Contains([]Kind{CutStore, DownStore, CutCallers, CutPeers}, d.Kind) {
		return fmt.Errorf("%s requires how=%s", d.Kind, strings.Join(hows[d.Kind], "|"))
	}
	if d.How != "" && !slices.Contains(hows[d.Kind], d.How) {
		return unknownValue(d.Kind, "how", d.How, hows[d.Kind])
	}
	if d.Kind != CutOff {
		for _, p := range d.cutOffValues() {
			if p[1] != "" {
				return unknownValue(d.Kind, p[0], p[1], nil)
			}
		}
		return nil
	}
	if d.Way != "" && !slices.Contains(cutOffWays, d.Way) {
		return unknownValue(d.Kind, "way", d.Way, cutOffWays)
	}
	if stores := []string{StoreKept, StoreCut}; d.Store != "" && !slices.Contains(stores, d.Store) {
		return unknownValue(d.Kind, "store", d.Store, stores)
	}
	if d.IsMove() && d.How != BackAlive {
		return fmt.Errorf("way=%s requires how=%s", d.Way, BackAlive)
	}
	if d.IsMove() && len(d.From) > 0 {
		return fmt.Errorf("way=%s is the same from everywhere", d.Way)
	}
	return nil
}

// cutOffValues returns the keys and values that only CutOff has.
func (d Disturbance) cutOffValues() [][2]string {
	return [][2]string{{"way", d.Way}, {"store", d.Store}, {"from", strings.Join(d.From, ",")}}
}

func unknownValue(k Kind, key, value string, known []string) error {
	if len(known) == 0 {
		return fmt.Errorf("%s has no %s, got %q", k, key, value)
	}
	return fmt.Errorf("%s has no %s=%s; known: %s", k, key, value, strings.Join(known, ", "))
}
