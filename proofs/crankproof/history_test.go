package crankproof

import (
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/standin/crankfakeworker"
)

// history is what callers, operators and workers saw, without the instances' own
// state. The checker reads it.
type history struct {
	mu               sync.Mutex
	requests         map[string]*request // by payload, which is unique
	reservations     int                 // granted ones
	starts           []partEvent
	ends             []partEvent
	zoneChanges      []zoneChange
	leavingSince     map[string]time.Time // by worker, when the platform marked it
	observedVersions []observedVersion
	acceptedVersions []acceptedVersion
}

// request is a caller's request, however often it was sent.
type request struct {
	payload    string
	idempotent bool
	tasks      int // of the whole gang
	outcome    crank.Outcome
	result     string
	answer     string
	fetched    bool
	refused    bool // the caller was told that it was not run
	sent       cranknode.Request
}

// partEvent is the start or the end of a part of an attempt at a worker.
type partEvent struct {
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

// observedVersion is a configuration version that an instance used.
type observedVersion struct {
	at       time.Time
	instance string // one incarnation
	version  int
}

// acceptedVersion is a publication that was confirmed to an operator.
type acceptedVersion struct {
	at      time.Time
	version int
}

func newHistory() *history {
	return &history{requests: map[string]*request{}, leavingSince: map[string]time.Time{}}
}

func (h *history) addWorkerEvent(zone string, e crankfakeworker.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event := partEvent{at: e.At, worker: e.Worker, zone: zone, attempt: e.Attempt, tasks: e.Tasks, payload: string(e.Payload), state: e.State}
	switch e.Kind {
	case crankfakeworker.EventReserve:
		h.reservations++
	case crankfakeworker.EventStart:
		h.starts = append(h.starts, event)
	case crankfakeworker.EventEnd:
		h.ends = append(h.ends, event)
	}
}

func (h *history) addRequest(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.payload] = &r
}

func (h *history) allRequests() []request {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []request
	for _, r := range h.requests {
		list = append(list, *r)
	}
	return list
}

func (h *history) reservationCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reservations
}

func (h *history) startCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.starts)
}

func (h *history) allStarts() []partEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]partEvent(nil), h.starts...)
}

func (h *history) firstWorker() string { return h.allStarts()[0].worker }

// updateRequest changes a request under the lock.
func (h *history) updateRequest(payload string, change func(*request)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.requests[payload])
}

func (h *history) addZoneChange(z zoneChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneChanges = append(h.zoneChanges, z)
}

func (h *history) addLeavingWorker(worker string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingSince[worker] = at
}

func (h *history) addObservedVersion(v observedVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observedVersions = append(h.observedVersions, v)
}

func (h *history) addAcceptedVersion(v acceptedVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptedVersions = append(h.acceptedVersions, v)
}
