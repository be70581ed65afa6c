// Package crankoperator keeps an in-memory replica of the operator topic: the
// current configuration and the availability zones that are out of service.
package crankoperator

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
	Config         crank.QueueConfig
	EvacuatedZones map[string]bool // availability zones out of service; must not be modified
	AsOf           time.Time       // all records published by then are in the view; zero before the first load
}

// OperatorReplica keeps the newest view of the operator topic. It implements
// crankfeed.Sink. The version of the configuration never decreases.
type OperatorReplica struct {
	decode  Decoder
	logger  *slog.Logger
	mu      sync.Mutex
	view    View
	changed chan struct{}
}

// New returns an empty replica.
func New(decode Decoder, logger *slog.Logger) *OperatorReplica {
	return &OperatorReplica{decode: decode, logger: logger, view: View{EvacuatedZones: map[string]bool{}}, changed: make(chan struct{})}
}

// Reset implements crankfeed.Sink.
func (o *OperatorReplica) Reset(records []crank.KeyedRecord) { o.apply(map[string]bool{}, records) }

// Apply implements crankfeed.Sink.
func (o *OperatorReplica) Apply(records []crank.KeyedRecord) {
	o.apply(maps.Clone(o.View().EvacuatedZones), records)
}

func (o *OperatorReplica) apply(evacuated map[string]bool, records []crank.KeyedRecord) {
	config := o.View().Config
	for _, r := range records {
		d, err := o.decode(r)
		switch {
		case err != nil:
			o.logger.Warn("operator: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		case d.Config != nil && d.Config.Version >= config.Version:
			o.logger.Info("operator: configuration applied", "version", d.Config.Version, "former", config.Version, "offset", r.Offset,
				"queues", len(d.Config.Queues), "workspaces", len(d.Config.Workspaces))
			config = *d.Config
		case d.Config != nil:
			o.logger.Warn("operator: older configuration ignored", "version", d.Config.Version, "in-force", config.Version)
		case d.EvacuateZone != "" && len(r.Value) == 0:
			delete(evacuated, d.EvacuateZone)
			o.logger.Info("operator: zone back in service", "zone", d.EvacuateZone, "offset", r.Offset)
		case d.EvacuateZone != "":
			evacuated[d.EvacuateZone] = true
			o.logger.Info("operator: zone out of service", "zone", d.EvacuateZone, "offset", r.Offset)
		}
	}
	o.update(func(v *View) { v.Config, v.EvacuatedZones = config, evacuated })
}

// CaughtUp implements crankfeed.Sink.
func (o *OperatorReplica) CaughtUp(at time.Time, _ crank.Offset) {
	o.update(func(v *View) { v.AsOf = at })
}

func (o *OperatorReplica) update(change func(*View)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.view)
	close(o.changed)
	o.changed = make(chan struct{})
}

// View returns the newest view.
func (o *OperatorReplica) View() View {
	v, _ := o.Watch()
	return v
}

// Watch returns the newest view and a channel that is closed when it changes.
func (o *OperatorReplica) Watch() (View, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view, o.changed
}
