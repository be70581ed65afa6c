package crankhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/pkg/crankapi"

	"github.com/labstack/echo/v4"
)

// authenticate admits operators.
func (s *server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if subtle.ConstantTimeCompare([]byte(bearer(c)), []byte(s.OperatorKey)) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is wrong or missing")
		}
		return next(c)
	}
}

func bearer(c echo.Context) string {
	return strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
}

// caller is who sends a request: a workspace, by its key or by its name only.
type caller struct {
	workspace string
	anonymous bool
}

// identify finds the workspace of a caller.
func (s *server) identify(c echo.Context) (caller, error) {
	config := s.Node.State().Config
	key := bearer(c)
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

// mayUse checks a profile that a caller names. Anonymous callers use only
// profiles that allow them.
func (s *server) mayUse(who caller, name string) error {
	profile, ok := s.Node.State().Config.Profile(name)
	if ok && who.anonymous && !profile.Anonymous {
		return echo.NewHTTPError(http.StatusForbidden, "profile "+name+" needs a key")
	}
	return nil
}

// owned returns a job if the caller may see it. An anonymous caller sees the
// jobs of profiles that allow anonymous callers, by their identity.
func (s *server) owned(who caller, j crankfold.Job) error {
	if j.Workspace != who.workspace || (who.anonymous && !j.Rules.Anonymous) {
		return crank.Fail("job", crank.KindNotFound, "job %s does not exist", j.Job)
	}
	return nil
}
