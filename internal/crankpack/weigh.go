package crankpack

import (
	"cmp"
	"math"
	"slices"

	crank "cranberrycrank"
)

// Shape is what was requested lately and is likely to be requested again: a gang, or single
// tasks.
type Shape struct {
	Demand   crank.Demand // of one task
	Tasks    int          // of a gang, else 1
	SameRack bool
	Weight   float64 // how often it is requested, compared with other shapes
}

// SpeedPreference says at workers of which speed a request is placed, where several fit.
type SpeedPreference int

// Speed preferences. Members of a gang get workers of like speed with each of them.
const (
	AnySpeed SpeedPreference = iota
	PreferFast
	PreferSlow
)

// rackTaskWeight weighs room for one task of a gang that must stay on one rack against room
// for the whole gang, as in pkg/crankplan.
const rackTaskWeight = 1.0 / 64

// speedStep is the ratio between classes of speed. Learned speeds spread; workers of less
// difference count as alike.
const speedStep = 1.25

// weights are what the pool weighs in placing a request.
type weights struct {
	shapes   []Shape
	rackRoom map[string][]int // tasks of each shape that fit on a rack
}

// Weigh has the pool place requests by speed, and by what their placement leaves for shapes.
//
// Load pattern: batch tasks of one accelerator and little memory are spread over workers whose
// free accelerators and memory then fit no survey member of 270 GB, and over racks that then fit
// no gang. On a fleet with a quarter of fast workers they take these, and urgent gangs get
// slow ones or a mixture, which is as slow.
func (p *Pool) Weigh(shapes []Shape) { p.weights = &weights{shapes: shapes} }

// rating is what decides between places on several racks; the least is best.
type rating struct {
	speed int
	loss  float64
}

// placeOn returns a worker for each task, or nil when not all fit.
func (p *Pool) placeOn(workers []*WorkerCapacity, q Request, k CapacityKind) ([]*WorkerCapacity, rating) {
	if p.weights == nil || (k != FreeCapacity && k != FutureCapacity) {
		return placeBestFit(workers, q, k), rating{}
	}
	fitting, room := make([]candidate, 0, len(workers)), 0
	for _, w := range workers {
		if n := w.fitCount(q, k, crank.Demand{}, q.Tasks); n > 0 {
			fitting, room = append(fitting, candidate{worker: w, fits: n, class: w.speedClass()}), room+n
		}
	}
	if room < q.Tasks {
		return nil, rating{}
	}
	fitting, r := q.withinSpeeds(fitting)
	if len(workers) == len(p.Workers) {
		p.weights.countRooms(p.racks, k)
	} else {
		p.weights.countRooms([][]*WorkerCapacity{workers}, k)
	}
	need := q.Step.ReservedCapacity()
	for i, c := range fitting {
		fitting[i].loss = p.weights.lossOn(c.worker, need.Times(c.fits), k) / float64(c.fits)
	}
	best := byBestFit(k, q.TrustOrder)
	slices.SortStableFunc(fitting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.worker.FailureCount, b.worker.FailureCount), q.TrustOrder*cmp.Compare(b.worker.Trust, a.worker.Trust), cmp.Compare(a.loss, b.loss), best(a.worker, b.worker))
	})
	var placed []*WorkerCapacity
	for _, c := range fitting {
		n := min(c.fits, q.Tasks-len(placed))
		for range n {
			placed = append(placed, c.worker)
		}
		if len(placed) == q.Tasks {
			break
		}
	}
	if q.Step.SameRack {
		r.loss = p.weights.lossOnRack(placed, need, k)
	}
	return placed, r
}

// candidate is a worker that has room for tasks of a request.
type candidate struct {
	worker *WorkerCapacity
	fits   int // tasks
	class  int // of speed
	loss   float64
}

// speedClass returns the class of the worker's speed; 0 is usual or not known.
func (w *WorkerCapacity) speedClass() int {
	if w.Speed <= 0 || w.Speed == 1 {
		return 0
	}
	return int(math.Round(math.Log(w.Speed) / math.Log(speedStep)))
}

// withinSpeeds returns the candidates of a range of speeds that has room for the request, and
// how well it suits: for PreferFast with the fastest slowest worker, since a gang is as slow as
// that; else with the least spread of a gang. Workers that failed lately are left out where
// enough others have room.
func (q Request) withinSpeeds(candidates []candidate) ([]candidate, rating) {
	if !q.Step.Gang && q.Speed == AnySpeed {
		return candidates, rating{}
	}
	sound, room := make([]candidate, 0, len(candidates)), 0
	for _, c := range candidates {
		if c.worker.FailureCount == 0 {
			sound, room = append(sound, c), room+c.fits
		}
	}
	if room >= q.Tasks {
		candidates = sound
	}
	rooms := make(map[int]int)
	for _, c := range candidates {
		rooms[c.class] += c.fits
	}
	if len(rooms) == 1 {
		return candidates, q.rate(candidates[0].class, candidates[0].class)
	}
	classes := make([]int, 0, len(rooms))
	for class := range rooms {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	lowest, highest, found := 0, 0, false
	var least rating
	for i := range classes {
		room := 0
		for _, high := range classes[i:] {
			if room += rooms[high]; room < q.Tasks {
				continue
			}
			if r := q.rate(classes[i], high); !found || r.speed < least.speed {
				lowest, highest, least, found = classes[i], high, r, true
			}
			break // wider ranges from here suit less
		}
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.class < lowest || c.class > highest }), least
}

// spreadWeight ranks the spread of speeds against their level; there are far fewer classes.
const spreadWeight = 1000

// rate returns how well workers from one class of speed to another suit the request.
func (q Request) rate(lowest, highest int) rating {
	spread := highest - lowest
	switch q.Speed {
	case PreferFast:
		return rating{speed: -spreadWeight*lowest + spread}
	case PreferSlow:
		return rating{speed: spreadWeight*spread + lowest}
	}
	return rating{speed: spreadWeight*spread - lowest}
}

// fits returns how many tasks of a demand a capacity has room for.
func fits(have, need crank.Demand) int {
	n := math.MaxInt32
	for _, r := range [3][2]int{{have.MilliCores, need.MilliCores}, {have.MemoryMiB, need.MemoryMiB}, {have.Accelerators, need.Accelerators}} {
		if r[1] > 0 {
			n = min(n, max(0, r[0])/r[1])
		}
	}
	return n
}

// shapeRoom returns how many tasks of each shape fit on a worker.
func (ws *weights) shapeRoom(w *WorkerCapacity, k CapacityKind) []int {
	have := w.available(k)
	if w.shapeRoom == nil || w.shapeRoomOf != have {
		w.shapeRoom, w.shapeRoomOf = make([]int, len(ws.shapes)), have
		for i, s := range ws.shapes {
			w.shapeRoom[i] = fits(have, s.Demand)
		}
	}
	return w.shapeRoom
}

func rackKey(w *WorkerCapacity) string { return w.Zone + "\x00" + w.Rack }

// countRooms counts the tasks of each shape that fit on each rack.
func (ws *weights) countRooms(racks [][]*WorkerCapacity, k CapacityKind) {
	if ws.rackRoom == nil {
		ws.rackRoom = make(map[string][]int, len(racks))
	}
	for _, rack := range racks {
		key := rackKey(rack[0])
		sum := ws.rackRoom[key]
		if sum == nil {
			sum = make([]int, len(ws.shapes))
			ws.rackRoom[key] = sum
		}
		clear(sum)
		for _, w := range rack {
			if !w.Schedulable {
				continue
			}
			for i, n := range ws.shapeRoom(w, k) {
				sum[i] += n
			}
		}
	}
}

// lossOn returns how many weighted cores of the shapes no longer fit once a demand is
// allocated on a worker.
func (ws *weights) lossOn(w *WorkerCapacity, used crank.Demand, k CapacityKind) float64 {
	rest, sum := w.available(k).Minus(used), 0.0
	var room []int
	for i, n := range ws.shapeRoom(w, k) {
		lost := n - fits(rest, ws.shapes[i].Demand)
		if lost == 0 {
			continue
		}
		if room == nil {
			room = ws.rackRoom[rackKey(w)]
		}
		sum += ws.shapes[i].loss(room[i], lost)
	}
	return sum
}

// lossOnRack is lossOn for tasks on several workers of one rack.
func (ws *weights) lossOnRack(placed []*WorkerCapacity, need crank.Demand, k CapacityKind) float64 {
	tasks := make(map[*WorkerCapacity]int)
	for _, w := range placed {
		tasks[w]++
	}
	lost := make([]int, len(ws.shapes))
	for w, n := range tasks {
		rest := w.available(k).Minus(need.Times(n))
		for i, room := range ws.shapeRoom(w, k) {
			lost[i] += room - fits(rest, ws.shapes[i].Demand)
		}
	}
	sum := 0.0
	for i, s := range ws.shapes {
		sum += s.loss(ws.rackRoom[rackKey(placed[0])][i], lost[i])
	}
	return sum
}

// loss returns the weighted cores that the shape can't use any more where there was room for
// some tasks of it on a rack and for lost ones less now.
func (s Shape) loss(room, lost int) float64 {
	if lost == 0 {
		return 0
	}
	tasks := float64(lost)
	if s.SameRack && s.Tasks > 1 {
		gangs := room/s.Tasks - (room-lost)/s.Tasks
		tasks = float64(gangs*s.Tasks) + rackTaskWeight*float64(lost)
	}
	return s.Weight * s.Demand.Cores() * tasks
}
