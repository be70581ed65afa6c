package crank

// Resources is the capacity of a worker or the need of tasks. Each task occupies
// one slot. Leased workers use Demand instead.
type Resources struct {
	Accelerators int `json:"accelerators"`
	Cores        int `json:"cores"`
	MemoryMiB    int `json:"memory-mib"`
	Slots        int `json:"slots"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.MemoryMiB + o.MemoryMiB, r.Slots + o.Slots}
}

// Minus returns r - o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.MemoryMiB - o.MemoryMiB, r.Slots - o.Slots}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.Cores * n, r.MemoryMiB * n, r.Slots * n}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.Accelerators >= o.Accelerators && r.Cores >= o.Cores && r.MemoryMiB >= o.MemoryMiB && r.Slots >= o.Slots
}

// Fits returns how many times o fits into r, capped at limit.
func (r Resources) Fits(o Resources, limit int) int {
	limit = maxCount(r.Accelerators, o.Accelerators, limit)
	limit = maxCount(r.Cores, o.Cores, limit)
	limit = maxCount(r.MemoryMiB, o.MemoryMiB, limit)
	return maxCount(r.Slots, o.Slots, limit)
}

func maxCount(have, need, limit int) int {
	if need <= 0 {
		return limit
	}
	return max(0, min(limit, have/need))
}

// Span is the widest domain over which the tasks of a gang may be spread.
type Span string

// Spans, from the narrowest to the widest.
const (
	SpanWorker Span = "worker"
	SpanRack   Span = "rack"
	SpanZone   Span = "zone"
	SpanAny    Span = "any"
)

// Shape is a gang: a number of identical tasks and the domain that holds them
// all.
type Shape struct {
	Tasks   int       `json:"tasks"`
	PerTask Resources `json:"per-task"`
	Span    Span      `json:"span"`
}

// Total returns the resources of the whole gang.
func (s Shape) Total() Resources { return s.PerTask.Times(s.Tasks) }

// FitsCell reports whether a gang of shape s can claim a guarantee cell. It must
// have as many tasks as the cell: the unused rest of a larger cell would be lost
// to other jobs.
func (s Shape) FitsCell(cell Shape) bool {
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
