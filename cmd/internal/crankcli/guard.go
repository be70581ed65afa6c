package crankcli

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankguard"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
)

// Times of the listeners that callers don't use. Peers may relay an append over a slow
// link.
const (
	peerIdleTimeout  = 2 * time.Minute
	peerBodyTimeout  = 15 * time.Second
	probeBodyTimeout = time.Second // probes and metrics have no body
)

// guardedProcess is a process whose listeners share the limits of a guard.
type guardedProcess struct {
	guard    *crankguard.Guard
	settings crankguard.Settings
	budget   crankguard.Budget
}

// newGuardedProcess derives the limits of a process from its memory and its descriptors,
// and sets the soft limit of the Go runtime.
func newGuardedProcess(s crankguard.Settings, memoryMiB int, published func() crank.RequestLimits, logger *slog.Logger, scope tally.Scope) guardedProcess {
	budget := s.Derive(crankguard.Resources{MemoryMiB: memoryMiB, Descriptors: descriptorLimit()})
	debug.SetMemoryLimit(budget.HeapBytes)
	logger.Info("guard: limits", "memory-mib", memoryMiB, "connections", budget.Connections, "peer-connections", budget.PeerConnections,
		"request-bytes", budget.RequestBytes, "reserved-bytes", budget.ReservedBytes, "heap-bytes", budget.HeapBytes)
	g := crankguard.New(crankguard.Config{Settings: s, Budget: budget, Published: published, Logger: logger, Scope: scope})
	return guardedProcess{guard: g, settings: s, budget: budget}
}

// descriptorLimit returns the process's limit of descriptors, 0 if it can't be read.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// callers returns the listener of callers.
func (p guardedProcess) callers(addr string) crankguard.ListenerConfig {
	return crankguard.ListenerConfig{
		Address: addr, Connections: p.budget.Connections, Backlog: p.budget.Backlog, ReceiveBuffer: p.settings.ReceiveBuffer,
		BodyTimeout: p.settings.BodyTimeout, ProgressTimeout: p.settings.ProgressTimeout, ChargeBodies: true,
	}
}

// peers returns the listener of other instances. Their bodies are read only with the peer
// key and not taken from the callers' budget.
func (p guardedProcess) peers(addr string) crankguard.ListenerConfig {
	return crankguard.ListenerConfig{
		Address: addr, Connections: p.budget.PeerConnections, IdleTimeout: peerIdleTimeout, BodyTimeout: peerBodyTimeout, ProgressTimeout: peerBodyTimeout,
	}
}

// probes returns the listener of the readiness probe or of metrics.
func (p guardedProcess) probes(addr string) crankguard.ListenerConfig {
	return crankguard.ListenerConfig{
		Address: addr, Connections: p.settings.ProbeConnections, ReceiveBuffer: p.settings.ReceiveBuffer, IdleTimeout: peerIdleTimeout, BodyTimeout: probeBodyTimeout, ProgressTimeout: probeBodyTimeout,
	}
}

// addServer adds a server that listens once the group runs. After a graceful shutdown its
// actor returns only when the group ends: an earlier return would stop the other actors,
// which the last requests still need.
func (p guardedProcess) addServer(ctx context.Context, g *run.Group, c crankguard.ListenerConfig, handler http.Handler) *http.Server {
	server := p.guard.NewServer(handler, c)
	ended := make(chan struct{})
	g.Add(func() error {
		l, err := p.guard.Listen(ctx, c)
		if err != nil {
			return err
		}
		if err := server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		server.Close()
	})
	return server
}
