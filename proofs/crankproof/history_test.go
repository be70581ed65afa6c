package crankproof

import (
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/standin/crankfakeworker"
)

// history is what callers, operators and workers saw, and nothing of what the
// instances know. The checker judges it.
type history struct {
	mu       sync.Mutex
	requests map[string]*request // by payload, which is unique
	reserves int
	starts   []taskEvent
	ends     []taskEvent
	zones    []zoneChange
	leavings map[string]time.Time // by worker, since when the platform says so
	versions []versionSeen
	accepted []versionAccepted
}

// request is one request of a caller, however often it was sent.
type request struct {
	payload    string
	idempotent bool
	tasks      int // of the whole gang
	outcome    crank.Outcome
	result     string
	answer     string
	fetched    bool // answer was fetched
	refused    bool // an instance said that it was not run
	sent       cranknode.Request
}

// taskEvent is the start or the end of a part at a worker.
type taskEvent struct {
	at      time.Time
	worker  string
	zone    string
	attempt crank.AttemptID
	tasks   int
	payload string
	state   crank.PartState
}

// zoneChange is an accepted change of an availability zone.
type zoneChange struct {
	at   time.Time
	zone string
	out  bool
}

// versionSeen is a configuration that an instance judged by.
type versionSeen struct {
	at       time.Time
	instance string // one life
	version  int
}

// versionAccepted is a publication that an operator was told is accepted.
type versionAccepted struct {
	at      time.Time
	version int
}

func newHistory() *history {
	return &history{requests: map[string]*request{}, leavings: map[string]time.Time{}}
}

// observe takes an event of a stand-in worker.
func (h *history) observe(zone string, e crankfakeworker.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := taskEvent{at: e.At, worker: e.Worker, zone: zone, attempt: e.Attempt, tasks: e.Tasks, payload: string(e.Payload), state: e.State}
	switch e.Kind {
	case crankfakeworker.EventReserve:
		h.reserves++
	case crankfakeworker.EventStart:
		h.starts = append(h.starts, t)
	case crankfakeworker.EventEnd:
		h.ends = append(h.ends, t)
	}
}

func (h *history) addRequest(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.payload] = &r
}

// list returns all requests.
func (h *history) list() []request {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []request
	for _, r := range h.requests {
		list = append(list, *r)
	}
	return list
}

// reserved returns how many reservations were granted.
func (h *history) reserved() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reserves
}

// started returns how many parts were started.
func (h *history) started() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.starts)
}

// allStarts returns the starts of all parts.
func (h *history) allStarts() []taskEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]taskEvent(nil), h.starts...)
}

// firstWorker returns the worker of the first start.
func (h *history) firstWorker() string { return h.allStarts()[0].worker }

// update changes a request under the lock.
func (h *history) update(payload string, change func(*request)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.requests[payload])
}

func (h *history) changeZone(z zoneChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones = append(h.zones, z)
}

func (h *history) leave(worker string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavings[worker] = at
}

func (h *history) seeVersion(v versionSeen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, v)
}

func (h *history) acceptVersion(v versionAccepted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepted = append(h.accepted, v)
}
