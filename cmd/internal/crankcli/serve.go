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
		return fail(c.env, err)
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

// instance is a running entry instance with its listeners.
type instance struct {
	settings crankconf.Settings
	logger   *slog.Logger
	node     *cranknode.Node
	public   *http.Server // callers and operators
	peers    *http.Server // other entry instances
	scope    tally.Scope
	closer   io.Closer
}

const (
	metricsPeriod     = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
)

func newInstance(s crankconf.Settings, logger *slog.Logger) *instance {
	metrics := newMetrics(logger)
	log := crankplatform.NewLog(s.Log)
	node := cranknode.New(cranknode.Config{
		Instance:       s.Instance,
		Log:            log,
		List:           crankplatform.NewInstanceList(s.List),
		Workers:        crankplatform.NewDialer(),
		Peers:          crankpeer.NewDialer(s.PeerKey),
		Policy:         crankplan.NewGuarded(),
		Logger:         logger,
		SnapshotPeriod: s.SnapshotPeriod,
	})
	api := crankhttp.New(crankhttp.Config{Node: node, OperatorKey: s.OperatorKey, Logger: logger, Scope: metrics.scope, Metrics: metrics.handler})
	peers := crankpeer.NewHandler(crankpeer.ServerConfig{Log: log, Status: node.Status, Key: s.PeerKey})
	return &instance{
		settings: s,
		logger:   logger,
		node:     node,
		public:   newServer(s.Listen, api),
		peers:    newServer(s.PeerListen, peers),
		scope:    metrics.scope,
		closer:   metrics.closer,
	}
}

func newServer(addr string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr:              addr,
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// run serves until a signal, then drains: the instance reports that it is not
// ready, waits for the balancer to notice, finishes the requests under way, and
// stops its parts.
func (i *instance) run(ctx context.Context) error {
	defer i.closer.Close()
	nodeContext, stopNode := context.WithCancel(ctx)
	defer stopNode()
	var g run.Group
	g.Add(func() error { return i.awaitSignal(ctx) }, func(error) {})
	g.Add(func() error { return i.node.Run(nodeContext) }, func(error) { stopNode() })
	addServer(&g, i.public)
	addServer(&g, i.peers)
	metrics, stopMetrics := context.WithCancel(ctx)
	g.Add(func() error { i.reportGauges(metrics); return nil }, func(error) { stopMetrics() })
	return g.Run()
}

// addServer adds a server that, once it is shut down, waits for the end of the
// group: its last requests still need the other parts.
func addServer(g *run.Group, s *http.Server) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.ListenAndServe(); err != http.ErrServerClosed {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		s.Close()
	})
}

// awaitSignal returns after a signal and the drain that follows it.
func (i *instance) awaitSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	go func() {
		<-signals
		i.logger.Warn("serve: second signal, ending at once")
		os.Exit(int(exitFailure))
	}()
	i.drain()
	return nil
}

// drain ends the requests under way without cutting one off. Until the listener
// closes, each answer asks its caller to close the connection, so that hardly
// any connection is idle, and may be about to carry a request, when it does.
func (i *instance) drain() {
	i.node.Drain()
	time.Sleep(i.settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	if err := i.public.Shutdown(ctx); err != nil {
		i.logger.Warn("serve: requests were cut off", "error", err)
	}
	i.logger.Info("serve: drained")
}

// reportGauges shows the size of the queue again and again.
func (i *instance) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(metricsPeriod)
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
