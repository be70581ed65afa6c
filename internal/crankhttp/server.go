// Package crankhttp serves the HTTP API of an entry instance: callers' requests
// under /v1/jobs, operators' under /v1/ops, health checks and metrics. Handlers
// read the state of the local node and pass changes to it.
package crankhttp

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/pkg/crankwire"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/uber-go/tally/v4"
)

// Config holds the dependencies of a handler.
type Config struct {
	Node        *cranknode.Node
	OperatorKey string
	Logger      *slog.Logger
	Scope       tally.Scope
	Metrics     http.Handler // serves /metrics
}

type server struct{ Config }

// maxBodySize limits request bodies; a configuration is the largest.
const maxBodySize = "4M"

// New returns the handler of the API.
func New(c Config) http.Handler {
	s := &server{c}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.writeError
	e.Use(middleware.BodyLimit(maxBodySize), s.recordMetrics)
	e.GET("/health/live", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/health/ready", s.checkReadiness)
	e.GET("/metrics", echo.WrapHandler(c.Metrics))

	e.POST("/v1/jobs", s.submitJob)
	e.GET("/v1/jobs/:job", s.showJob)
	e.GET("/v1/jobs/:job/answer", s.sendAnswer)
	e.DELETE("/v1/jobs/:job", s.cancelOwnJob)

	ops := e.Group("/v1/ops", s.requireOperatorKey)
	ops.GET("/config", s.showConfiguration)
	ops.POST("/config", s.publishConfiguration)
	ops.GET("/zones", s.listZones)
	ops.POST("/zones/:zone", s.setZone)
	ops.GET("/workers", s.listWorkers)
	ops.GET("/jobs", s.listJobs)
	ops.GET("/jobs/:job", s.explainJob)
	ops.DELETE("/jobs/:job", s.cancelAnyJob)
	ops.GET("/burn", s.reportBurnRates)
	return e
}

func (s *server) checkReadiness(c echo.Context) error {
	if !s.Node.Ready() {
		return crank.Fail("health", crank.KindUnavailable, "the instance is not ready")
	}
	return c.NoContent(http.StatusNoContent)
}

// retryAfter is sent with status 429 and 503.
const retryAfter = time.Second

// writeError sends an error as a crankwire.Problem and logs 5xx other than 503.
func (s *server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, problem := classify(err)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		s.Logger.Warn("http: request failed", "path", c.Path(), "status", status, "error", err)
	}
	if err := c.JSON(status, problem); err != nil {
		s.Logger.Warn("http: writing the response failed", "error", err)
	}
}

// classify returns the status and the response body for an error.
func classify(err error) (int, crankwire.Problem) {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		message, ok := httpErr.Message.(string)
		if !ok {
			message = http.StatusText(httpErr.Code)
		}
		return httpErr.Code, crankwire.Problem{Kind: crank.KindInvalid, Message: message}
	}
	return crankwire.Status(crank.KindOf(err)), crankwire.NewProblem(err)
}

// recordMetrics counts and times requests by route, method and status. While the
// instance drains, it also asks callers to close their connections.
func (s *server) recordMetrics(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		if s.Node.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		err := next(c)
		status := c.Response().Status
		if err != nil {
			status, _ = classify(err)
		}
		scope := s.Scope.Tagged(map[string]string{"route": c.Path(), "method": c.Request().Method, "status": strconv.Itoa(status)})
		scope.Counter("http_requests").Inc(1)
		scope.Timer("http_request_time").Record(time.Since(start))
		return err
	}
}
