package crankfakesite

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	crank "cranberrycrank"
)

// Entry returns what worker n of a zone publishes, without ID, pool and address.
func (s Site) Entry(z Zone, n int) crank.WorkerEntry {
	w := s.Worker
	rack := rackName(z, n/w.RackSize)
	return crank.WorkerEntry{
		Zone: z.Name, Rack: rack, Labels: []string{w.Kinds[n%len(w.Kinds)], rack},
		Capacity: crank.Demand{MilliCores: w.MilliCores, MemoryMiB: w.MemoryMiB, Accelerators: w.Accelerators},
	}
}

// Speed draws the speed of a worker's machine.
func (s Site) Speed(seed uint64, machine string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, machine)
	rng := rand.New(rand.NewPCG(h.Sum64(), seed))
	return s.Worker.Speeds[rng.IntN(len(s.Worker.Speeds))]
}

func rackName(z Zone, n int) string { return fmt.Sprintf("%s-r%d", z.Name, n) }

// racks returns the names of all racks.
func (s Site) racks() []string {
	var names []string
	for _, z := range s.Zones {
		for n := range (z.Workers + s.Worker.RackSize - 1) / s.Worker.RackSize {
			names = append(names, rackName(z, n))
		}
	}
	return names
}
