package crankhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/pkg/crankapi"

	"github.com/labstack/echo/v4"
)

// requireOperatorKey rejects requests without the operator key.
func (s *server) requireOperatorKey(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if subtle.ConstantTimeCompare([]byte(bearerToken(c)), []byte(s.OperatorKey)) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is wrong or missing")
		}
		return next(c)
	}
}

// bearerToken returns the token of the Authorization header, empty for none.
func bearerToken(c echo.Context) string {
	return strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
}

// caller is the sender of a request. An anonymous caller names its workspace but
// has no key.
type caller struct {
	workspace string
	anonymous bool
}

// identifyCaller finds the workspace of a request by its API key, or without a
// key by the workspace header.
func (s *server) identifyCaller(c echo.Context) (caller, error) {
	config := s.Node.State().Config
	key := bearerToken(c)
	if key == "" {
		name := c.Request().Header.Get(crankapi.HeaderWorkspace)
		if _, ok := config.Workspace(name); !ok {
			return caller{}, echo.NewHTTPError(http.StatusUnauthorized, "the request has neither a key nor a known workspace")
		}
		return caller{workspace: name, anonymous: true}, nil
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	for _, w := range config.Workspaces {
		if w.Key != "" && subtle.ConstantTimeCompare([]byte(w.Key), []byte(digest)) == 1 {
			return caller{workspace: w.Name}, nil
		}
	}
	return caller{}, echo.NewHTTPError(http.StatusUnauthorized, "the key belongs to no workspace")
}

// checkProfileAccess rejects anonymous callers unless the profile allows them.
func (s *server) checkProfileAccess(caller caller, name string) error {
	profile, ok := s.Node.State().Config.Profile(name)
	if ok && caller.anonymous && !profile.Anonymous {
		return echo.NewHTTPError(http.StatusForbidden, "profile "+name+" needs a key")
	}
	return nil
}

// checkJobAccess reports a job as not found unless it belongs to the caller's
// workspace and, for anonymous callers, its profile allows them.
func (s *server) checkJobAccess(caller caller, j crankstate.Job) error {
	if j.Workspace != caller.workspace || (caller.anonymous && !j.Rules.Anonymous) {
		return crank.Fail("job", crank.KindNotFound, "job %s does not exist", j.Job)
	}
	return nil
}
