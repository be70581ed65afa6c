package crankrelay

import (
	"sync"
	"time"
)

// Delays until a call without an answer goes out on another path as well.
const (
	hedgeDelay       = 400 * time.Millisecond // while answers are quick
	maxHedgeDelay    = 2 * time.Second        // also of loading a topic, which takes long on a narrow link
	hedgeFactor      = 3                      // times the usual answer time
	answerTimeWeight = 0.2                    // of the newest answer in the usual answer time
)

// answerTime is the usual time of answers to one kind of call, an exponential moving
// average.
//
// Load pattern: a slow or overloaded store answers every call late. Calls that are
// repeated on other paths after a fixed delay would then triple its load, and it would
// never catch up.
type answerTime struct {
	mu    sync.Mutex
	usual time.Duration
}

// add records the time of one answer.
func (a *answerTime) add(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usual += time.Duration(answerTimeWeight * float64(took-a.usual))
}

// hedge returns how long to wait for an answer before the call goes out on another path.
func (a *answerTime) hedge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(maxHedgeDelay, max(hedgeDelay, hedgeFactor*a.usual))
}
