// Package crankboard keeps an in-memory copy of the operator topic: the current
// configuration and the availability zones that are out of service.
package crankboard

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Decoder decodes a record of the operator topic.
type Decoder func(crank.KeyedRecord) (crank.OperatorRecord, error)

// View is a snapshot of the operator topic and how current it is.
type View struct {
	Config crank.QueueConfig
	Out    map[string]bool // availability zones out of service; must not be modified
	AsOf   time.Time       // all records published by then are in the view; zero before the first load
}

// Board keeps the newest view of the operator topic. It implements
// crankfeed.Sink. The version of the configuration never decreases.
type Board struct {
	decode  Decoder
	logger  *slog.Logger
	mu      sync.Mutex
	view    View
	changed chan struct{}
}

// New returns an empty copy of the topic.
func New(decode Decoder, logger *slog.Logger) *Board {
	return &Board{decode: decode, logger: logger, view: View{Out: map[string]bool{}}, changed: make(chan struct{})}
}

// Reset implements crankfeed.Sink.
func (b *Board) Reset(records []crank.KeyedRecord) { b.apply(map[string]bool{}, records) }

// Apply implements crankfeed.Sink.
func (b *Board) Apply(records []crank.KeyedRecord) { b.apply(maps.Clone(b.View().Out), records) }

func (b *Board) apply(out map[string]bool, records []crank.KeyedRecord) {
	config := b.View().Config
	for _, r := range records {
		d, err := b.decode(r)
		switch {
		case err != nil:
			b.logger.Warn("board: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		case d.Config != nil && d.Config.Version >= config.Version:
			b.logger.Info("board: configuration applied", "version", d.Config.Version, "former", config.Version, "offset", r.Offset,
				"queues", len(d.Config.Queues), "workspaces", len(d.Config.Workspaces))
			config = *d.Config
		case d.Config != nil:
			b.logger.Warn("board: older configuration ignored", "version", d.Config.Version, "in-force", config.Version)
		case d.EvacuateZone != "" && len(r.Value) == 0:
			delete(out, d.EvacuateZone)
			b.logger.Info("board: zone back in service", "zone", d.EvacuateZone, "offset", r.Offset)
		case d.EvacuateZone != "":
			out[d.EvacuateZone] = true
			b.logger.Info("board: zone out of service", "zone", d.EvacuateZone, "offset", r.Offset)
		}
	}
	b.update(func(v *View) { v.Config, v.Out = config, out })
}

// CaughtUp implements crankfeed.Sink.
func (b *Board) CaughtUp(at time.Time, _ crank.Offset) { b.update(func(v *View) { v.AsOf = at }) }

func (b *Board) update(change func(*View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.view)
	close(b.changed)
	b.changed = make(chan struct{})
}

// View returns the newest view.
func (b *Board) View() View {
	v, _ := b.Watch()
	return v
}

// Watch returns the newest view and a channel that is closed when it changes.
func (b *Board) Watch() (View, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}
