package crankcli

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metrics is the root scope of a process and the handler that exports it to
// Prometheus.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

func newMetrics(logger *slog.Logger) metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       prom.NewRegistry(),
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(err error) { logger.Warn("metrics: registration failed", "error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "crank",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, time.Second)
	return metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}
