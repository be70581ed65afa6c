package crank

// Demand is the capacity of a leased worker or the need of one task of a Step.
// Unlike Resources, it counts thousandths of a core and has no task slots.
type Demand struct {
	MilliCores   int `json:"milli-cores,omitempty"`
	MemoryMiB    int `json:"memory-mib,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns d + o.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.MilliCores + o.MilliCores, d.MemoryMiB + o.MemoryMiB, d.Accelerators + o.Accelerators}
}

// Minus returns d - o; amounts may become negative.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.MilliCores - o.MilliCores, d.MemoryMiB - o.MemoryMiB, d.Accelerators - o.Accelerators}
}

// Times returns d multiplied by n.
func (d Demand) Times(n int) Demand {
	return Demand{d.MilliCores * n, d.MemoryMiB * n, d.Accelerators * n}
}

// Covers reports whether o fits into d. Resources that o does not need are
// ignored, even where d is overcommitted (negative).
func (d Demand) Covers(o Demand) bool {
	return (o.MilliCores <= 0 || d.MilliCores >= o.MilliCores) &&
		(o.MemoryMiB <= 0 || d.MemoryMiB >= o.MemoryMiB) &&
		(o.Accelerators <= 0 || d.Accelerators >= o.Accelerators)
}

// coresPerAccelerator converts accelerators to cores to compare amounts of work.
// The ratio is that of the platform's price list.
const coresPerAccelerator = 8

// Cores returns the amount in cores, with each accelerator counted as
// coresPerAccelerator. Memory is ignored.
func (d Demand) Cores() float64 {
	return float64(d.MilliCores)/1000 + coresPerAccelerator*float64(d.Accelerators)
}
