package crank

// Resources is an amount of what a worker offers or a task needs.
type Resources struct {
	Accelerators int `json:"accelerators"`
	Cores        int `json:"cores"`
	MemoryMiB    int `json:"memory-mib"`
	Slots        int `json:"slots"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.MemoryMiB + o.MemoryMiB, r.Slots + o.Slots}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.MemoryMiB - o.MemoryMiB, r.Slots - o.Slots}
}

// Times returns the amount n times.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.Cores * n, r.MemoryMiB * n, r.Slots * n}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.Accelerators >= o.Accelerators && r.Cores >= o.Cores && r.MemoryMiB >= o.MemoryMiB && r.Slots >= o.Slots
}

// Fits returns how many times o fits into r, at most limit.
func (r Resources) Fits(o Resources, limit int) int {
	limit = fitsOne(r.Accelerators, o.Accelerators, limit)
	limit = fitsOne(r.Cores, o.Cores, limit)
	limit = fitsOne(r.MemoryMiB, o.MemoryMiB, limit)
	return fitsOne(r.Slots, o.Slots, limit)
}

func fitsOne(have, need, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(0, min(limit, have/need))
}

// Span is the widest domain over which a job's tasks may be spread.
type Span string

// Spans, from the narrowest to the widest.
const (
	SpanWorker Span = "worker"
	SpanRack   Span = "rack"
	SpanZone   Span = "zone"
	SpanAny    Span = "any"
)

// Shape is a gang: a number of equal tasks and the domain that holds them all.
type Shape struct {
	Tasks   int       `json:"tasks"`
	PerTask Resources `json:"per-task"`
	Span    Span      `json:"span"`
}

// Total returns what the whole gang needs.
func (s Shape) Total() Resources { return s.PerTask.Times(s.Tasks) }

// Within reports whether a gang of shape s can claim a cell of shape cell. It
// must have as many tasks: the rest of a larger cell would be lost to others.
func (s Shape) Within(cell Shape) bool {
	return s.Tasks == cell.Tasks && cell.PerTask.Covers(s.PerTask) && spanRank(cell.Span) <= spanRank(s.Span)
}

func spanRank(s Span) int {
	switch s {
	case SpanWorker:
		return 0
	case SpanRack:
		return 1
	case SpanZone:
		return 2
	default:
		return 3
	}
}
