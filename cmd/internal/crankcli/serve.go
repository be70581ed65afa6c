package crankcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cranberrycrank/internal/crankconf"
	"cranberrycrank/internal/crankhttp"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankpeer"
	"cranberrycrank/internal/crankplatform"
	"cranberrycrank/pkg/crankplan"

	"github.com/google/subcommands"
	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
)

// serveCommand runs an entry instance.
type serveCommand struct {
	env      Config
	settings string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an entry instance" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve -settings file\n  run an entry instance until SIGTERM; a second SIGTERM ends it at once\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings of the process")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := crankconf.ReadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(c.env.Err, err)
		return exitInvalid
	}
	if err := newInstance(settings, newLogger(settings, c.env.Err)).run(ctx); err != nil {
		return printError(c.env, err)
	}
	return exitOK
}

func newLogger(s crankconf.Settings, out io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: s.LogLevel}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if s.LogJSON {
		handler = slog.NewJSONHandler(out, options)
	}
	return slog.New(handler).With("instance", s.Instance)
}

// instance is an entry instance with its HTTP servers.
type instance struct {
	settings      crankconf.Settings
	logger        *slog.Logger
	node          *cranknode.Node
	api           http.Handler // for callers and operators
	peers         http.Handler // for other entry instances
	publicServer  *http.Server // of api
	scope         tally.Scope
	metricsCloser io.Closer
}

// gaugeInterval is the time between reports of the gauges.
const gaugeInterval = 5 * time.Second

// newInstance connects the components without starting them.
func newInstance(s crankconf.Settings, logger *slog.Logger) *instance {
	metrics := newMetrics(logger)
	log := crankplatform.NewLog(s.LogAddr)
	node := cranknode.New(cranknode.Config{
		Instance:       s.Instance,
		Log:            log,
		List:           crankplatform.NewInstanceList(s.InstanceListAddr),
		Workers:        crankplatform.NewDialer(),
		Peers:          crankpeer.NewDialer(s.PeerKey),
		Policy:         crankplan.NewGuaranteePolicy(),
		Logger:         logger,
		SnapshotPeriod: s.SnapshotPeriod,
	})
	api := crankhttp.New(crankhttp.Config{Node: node, OperatorKey: s.OperatorKey, Logger: logger, Scope: metrics.scope, Metrics: metrics.handler})
	peers := crankpeer.NewHandler(crankpeer.ServerConfig{Log: log, Status: node.Status, Key: s.PeerKey})
	return &instance{
		settings:      s,
		logger:        logger,
		node:          node,
		api:           api,
		peers:         peers,
		scope:         metrics.scope,
		metricsCloser: metrics.closer,
	}
}

// run serves until a signal, then drains: the instance reports that it is not
// ready, waits for the load balancer to notice, finishes the open requests, and
// stops the node and the servers.
func (i *instance) run(ctx context.Context) error {
	defer i.metricsCloser.Close()
	nodeContext, stopNode := context.WithCancel(ctx)
	defer stopNode()
	var g run.Group
	ended := make(chan struct{})
	g.Add(func() error { return i.drainOnSignal(ctx, ended) }, func(error) { close(ended) })
	g.Add(func() error { return i.node.Run(nodeContext) }, func(error) { stopNode() })
	guarded := newGuardedProcess(i.settings.Guard, i.settings.MemoryMiB, nil, i.logger, i.scope)
	i.publicServer = guarded.addServer(ctx, &g, guarded.callers(i.settings.Listen), i.api)
	guarded.addServer(ctx, &g, guarded.peers(i.settings.PeerListen), i.peers)
	metricsContext, stopMetrics := context.WithCancel(ctx)
	g.Add(func() error { i.reportGauges(metricsContext); return nil }, func(error) { stopMetrics() })
	return g.Run()
}

// drainOnSignal drains after a signal or the end of ctx. Another signal during the
// drain ends the process at once. Once ended is closed there is nothing to drain.
func (i *instance) drainOnSignal(ctx context.Context, ended <-chan struct{}) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-ctx.Done():
	case <-ended:
		return nil
	}
	go func() {
		<-signals
		i.logger.Warn("serve: second signal, exiting immediately")
		os.Exit(int(exitFailure))
	}()
	i.drain()
	return nil
}

// drain finishes the open requests. Meanwhile each response asks its caller to
// close the connection, so that few are idle when the listener closes: a request
// sent on an idle one at that moment would be lost.
func (i *instance) drain() {
	i.node.Drain()
	time.Sleep(i.settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	if err := i.publicServer.Shutdown(ctx); err != nil {
		i.logger.Warn("serve: open requests were aborted", "error", err)
	}
	i.logger.Info("serve: drained")
}

func (i *instance) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		waiting, active, ended := i.node.State().Counts()
		i.scope.Gauge("jobs_waiting").Update(float64(waiting))
		i.scope.Gauge("jobs_active").Update(float64(active))
		i.scope.Gauge("jobs_kept").Update(float64(ended))
		i.scope.Gauge("config_version").Update(float64(i.node.State().Config.Version))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
