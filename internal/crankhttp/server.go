// Package crankhttp serves the HTTP API of an entry instance to callers and
// operators.
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

// Config sets up a handler.
type Config struct {
	Node        *cranknode.Node
	OperatorKey string
	Logger      *slog.Logger
	Scope       tally.Scope
	Metrics     http.Handler // serves /metrics
}

type server struct{ Config }

// maxBody bounds the body of any request; a configuration is the largest.
const maxBody = "4M"

// New returns the handler of the API.
func New(c Config) http.Handler {
	s := &server{c}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.fail
	e.Use(middleware.BodyLimit(maxBody), s.measure)
	e.GET("/health/live", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/health/ready", s.ready)
	e.GET("/metrics", echo.WrapHandler(c.Metrics))

	e.POST("/v1/jobs", s.submit)
	e.GET("/v1/jobs/:job", s.job)
	e.GET("/v1/jobs/:job/answer", s.answer)
	e.DELETE("/v1/jobs/:job", s.cancel)

	ops := e.Group("/v1/ops", s.authenticate)
	ops.GET("/config", s.showConfig)
	ops.POST("/config", s.publish)
	ops.GET("/zones", s.zones)
	ops.POST("/zones/:zone", s.setZone)
	ops.GET("/workers", s.workers)
	ops.GET("/jobs", s.jobs)
	ops.GET("/jobs/:job", s.explain)
	ops.DELETE("/jobs/:job", s.cancelAny)
	ops.GET("/burn", s.burn)
	return e
}

func (s *server) ready(c echo.Context) error {
	if !s.Node.Ready() {
		return crank.Fail("health", crank.KindUnavailable, "the instance is not ready")
	}
	return c.NoContent(http.StatusNoContent)
}

// retryAfter is the wait that a limited or unavailable caller is told.
const retryAfter = time.Second

// fail writes an error as a Problem.
func (s *server) fail(err error, c echo.Context) {
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
		s.Logger.Warn("http: answer failed", "error", err)
	}
}

func classify(err error) (int, crankwire.Problem) {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		message, ok := he.Message.(string)
		if !ok {
			message = http.StatusText(he.Code)
		}
		return he.Code, crankwire.Problem{Kind: crank.KindInvalid, Message: message}
	}
	return crankwire.Status(crank.KindOf(err)), crankwire.NewProblem(err)
}

// measure counts requests by route and status and times them.
func (s *server) measure(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		begun := time.Now()
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
		scope.Timer("http_request_time").Record(time.Since(begun))
		return err
	}
}
