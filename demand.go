package crank

// Demand is an amount of what a leased worker offers or one task of a step
// takes. Processors are counted in thousandths of a core.
type Demand struct {
	MilliCores   int `json:"milli-cores,omitempty"`
	MemoryMiB    int `json:"memory-mib,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns the sum.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.MilliCores + o.MilliCores, d.MemoryMiB + o.MemoryMiB, d.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.MilliCores - o.MilliCores, d.MemoryMiB - o.MemoryMiB, d.Accelerators - o.Accelerators}
}

// Times returns the amount n times.
func (d Demand) Times(n int) Demand {
	return Demand{d.MilliCores * n, d.MemoryMiB * n, d.Accelerators * n}
}

// Covers reports whether o fits into d. A kind that o does not need never
// binds, even where d is overcommitted.
func (d Demand) Covers(o Demand) bool {
	return (o.MilliCores <= 0 || d.MilliCores >= o.MilliCores) &&
		(o.MemoryMiB <= 0 || d.MemoryMiB >= o.MemoryMiB) &&
		(o.Accelerators <= 0 || d.Accelerators >= o.Accelerators)
}

// coresPerAccelerator weighs an accelerator against cores where work is
// compared; the platform's price list counts it so.
const coresPerAccelerator = 8

// Cores returns the amount as cores, an accelerator counted as several.
func (d Demand) Cores() float64 {
	return float64(d.MilliCores)/1000 + coresPerAccelerator*float64(d.Accelerators)
}
