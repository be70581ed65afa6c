package crankcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"cranberrycrank/internal/crankconf"
	"cranberrycrank/internal/crankentry"
	"cranberrycrank/internal/crankfootprint"
	"cranberrycrank/internal/cranklog"
	"cranberrycrank/internal/crankpeer"
	"cranberrycrank/internal/crankuptime"
	crankadapter "cranberrycrank/platform"

	"github.com/google/subcommands"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
)

// entryCommand runs an entry instance that schedules on the platform's leased
// workers.
type entryCommand struct {
	env      Config
	settings string
}

// Name implements subcommands.Command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis implements subcommands.Command.
func (*entryCommand) Synopsis() string {
	return "run an entry instance in front of the platform's leased workers"
}

// Usage implements subcommands.Command.
func (*entryCommand) Usage() string {
	return "entry -settings file\n  run an entry instance on the users' platform until SIGTERM; SIGHUP reads the settings again\n"
}

// SetFlags implements subcommands.Command.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings of the process")
}

// Execute implements subcommands.Command.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := crankconf.ReadEntrySettings(c.settings)
	if err != nil {
		fmt.Fprintln(c.env.Err, err)
		return exitInvalid
	}
	out := cranklog.NewWriter(c.env.Out)
	defer out.Close()
	level := new(slog.LevelVar)
	level.Set(settings.LogLevel)
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: formatDurations})).With("instance", settings.Instance)
	p := &entryProcess{settingsPath: c.settings, settings: settings, level: level, logger: logger, logWriter: out}
	if err := p.run(ctx); err != nil {
		logger.Error("entry: failed", "error", err)
		return exitFailure
	}
	return exitOK
}

// formatDurations logs durations with a unit, rounded to milliseconds, instead of
// as nanoseconds.
func formatDurations(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().Round(time.Millisecond).String())
	}
	return a
}

// entryProcess is an entry instance with its HTTP servers.
type entryProcess struct {
	settingsPath string
	settings     crankconf.EntrySettings
	level        *slog.LevelVar
	logWriter    *cranklog.Writer
	scope        tally.Scope
	logger       *slog.Logger
	entry        *crankentry.Entry
	publicServer *http.Server
}

// Timing of the process.
const (
	drainNotice            = 2500 * time.Millisecond // the load balancer checks each second and needs two failures
	shutdownMargin         = 300 * time.Millisecond  // of the drain timeout, left for the exit
	settingsReloadInterval = 2 * time.Second         // between checks of the settings file
)

// run serves until a signal, then drains and stops.
func (p *entryProcess) run(ctx context.Context) error {
	metrics := newMetrics(p.logger)
	defer metrics.closer.Close()
	p.scope = metrics.scope
	client := crankadapter.NewClient()
	store := crankadapter.NewStore(client, p.settings.StoreAddr)
	resources := crankfootprint.Resources{Descriptors: p.settings.Descriptors, MemoryMiB: p.settings.MemoryMiB}
	var guarded guardedProcess
	p.entry = crankentry.New(crankentry.Config{
		MarkConnections: func() { guarded.guard.Mark() },
		Instance:        p.settings.Instance,
		Zone:            p.settings.Zone,
		PeerAddr:        p.settings.PeerListen,
		Peers:           crankpeer.NewStoreDialer(),
		Leaders:         crankpeer.NewLeaderDialer(),
		Store:           store,
		TopicEnds:       store,
		Workers:         crankadapter.NewBoundedWorkerDialer(crankfootprint.ConnectionBound(resources)),
		DecodeWorker:    crankadapter.DecodeWorker,
		DecodeOperator:  crankadapter.DecodeOperator,
		Bounds:          p.settings.LeaseBounds,
		Planning:        p.settings.Planning,
		StoreLimits:     p.settings.StoreLimits,
		ResultRetention: p.settings.ResultRetention,
		ConfigBound:     p.settings.ConfigBound,
		ProcessorShare:  p.settings.ProcessorShare,
		MemoryMiB:       p.settings.MemoryMiB,
		Descriptors:     p.settings.Descriptors,
		LinkMbps:        p.settings.LinkMbps,
		Uptime:          crankuptime.Read,
		Logger:          p.logger,
		Scope:           metrics.scope,
	})
	p.logger.Info("entry: started", "version", Version, "settings", p.settingsPath, "listen", p.settings.Listen, "store", p.settings.StoreAddr)
	guarded = newGuardedProcess(p.settings.Guard, p.settings.MemoryMiB, p.entry.Requests.Limits, p.logger, metrics.scope)
	host, _, err := net.SplitHostPort(p.settings.Listen)
	if err != nil {
		return err
	}
	metricsAddr := net.JoinHostPort(host, strconv.Itoa(p.settings.MetricsPort))

	var g run.Group
	plannerContext, stopPlanner := context.WithCancel(ctx)
	feedsContext, stopFeeds := context.WithCancel(ctx)
	plannerDone := make(chan struct{})
	signalContext, stopSignals := context.WithCancel(ctx)
	g.Add(func() error {
		p.handleSignals(signalContext, func() {
			stopPlanner()
			<-plannerDone
		})
		return nil
	}, func(error) { stopSignals() })
	// The planner stops at the first signal. Its actor returns only with the feeds,
	// since a return ends the group.
	g.Add(func() error {
		err := p.entry.RunPlanner(plannerContext)
		close(plannerDone)
		<-feedsContext.Done()
		return err
	}, func(error) { stopPlanner() })
	g.Add(func() error { return p.entry.RunFeeds(feedsContext) }, func(error) { stopFeeds() })
	p.publicServer = guarded.addServer(ctx, &g, guarded.callers(p.settings.Listen), p.closeWhenDraining(crankadapter.NewJobHandler(p.entry.Requests, p.logger)))
	guarded.addServer(ctx, &g, guarded.probes(p.settings.ReadyListen), crankadapter.NewReadinessHandler(p.entry.Ready))
	guarded.addServer(ctx, &g, guarded.peers(p.settings.PeerListen), p.entry.PeerHandler())
	guarded.addServer(ctx, &g, guarded.probes(metricsAddr), metrics.handler)
	err = g.Run()
	p.logger.Info("entry: stopped", "error", err)
	return err
}

// closeWhenDraining asks callers to close their connections while the instance
// drains.
func (p *entryProcess) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.entry.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handleSignals reloads the settings on SIGHUP and periodically. On another signal
// it drains and returns. It also returns when ctx ends.
func (p *entryProcess) handleSignals(ctx context.Context, stopPlanner func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				p.reload("signal")
				continue
			}
			p.drain(received, stopPlanner)
			return
		case <-ticker.C:
			p.reload("")
			p.scope.Gauge("log_lines_left_out").Update(float64(p.logWriter.Dropped()))
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings that can change at run time. If the file is invalid,
// the previous ones stay in force. An empty cause means the periodic check.
func (p *entryProcess) reload(cause string) {
	s, err := crankconf.ReadEntrySettings(p.settingsPath)
	if err != nil {
		p.logger.Warn("entry: settings not reloaded, the previous ones stay in force", "cause", cause, "error", err)
		return
	}
	if s == p.settings {
		if cause != "" {
			p.logger.Info("entry: settings reloaded, nothing changed", "cause", cause)
		}
		return
	}
	p.level.Set(s.LogLevel)
	p.logger.Info("entry: settings reloaded", "cause", cause, "level", s.LogLevel, "needs-restart", s.Listen != p.settings.Listen || s.StoreAddr != p.settings.StoreAddr || s.StoreLimits != p.settings.StoreLimits || s.Guard != p.settings.Guard)
	p.settings = s
}

// drain releases the planner's term and finishes the open requests. New ones are
// served until the load balancer has had time to notice.
func (p *entryProcess) drain(received os.Signal, stopPlanner func()) {
	start := time.Now()
	p.logger.Info("entry: draining", "signal", received.String())
	p.entry.Drain()
	plannerStopped := make(chan struct{})
	go func() {
		stopPlanner()
		close(plannerStopped)
	}()
	end := start.Add(p.settings.DrainTimeout - shutdownMargin)
	time.Sleep(min(drainNotice, time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := p.publicServer.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.logger.Warn("entry: open requests were aborted", "error", err)
	}
	select {
	case <-plannerStopped:
	case <-ctx.Done():
	}
	p.logger.Info("entry: drained", "took", time.Since(start).Round(time.Millisecond))
}
