package crankhttp

import (
	"context"
	"io"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankguard"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/pkg/crankapi"

	"github.com/labstack/echo/v4"
)

// maxLongPoll limits the wait of one request, and with it a graceful shutdown.
const maxLongPoll = 20 * time.Second

// submitJob accepts a job and, with the query parameter wait, waits for its
// outcome.
func (s *server) submitJob(c echo.Context) error {
	caller, err := s.identifyCaller(c)
	if err != nil {
		return err
	}
	r, err := readRequest(c, caller)
	if err != nil {
		return err
	}
	wait, err := parseWait(c)
	if err != nil {
		return err
	}
	if err := s.checkProfileAccess(caller, r.Profile); err != nil {
		return err
	}
	ticket, err := s.Node.Submit(c.Request().Context(), r)
	if err != nil {
		s.Scope.Tagged(map[string]string{"workspace": caller.workspace, "kind": string(crank.KindOf(err))}).Counter("refused").Inc(1)
		return err
	}
	s.Scope.Tagged(map[string]string{"workspace": caller.workspace}).Counter("accepted").Inc(1)
	crankguard.Settle(c.Request().Context(), 0) // the payload is stored, the caller may wait long
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	j, err := s.Node.Wait(ctx, ticket.Job)
	if err != nil {
		j = crankstate.Job{Submission: crank.Submission{Job: ticket.Job, Workspace: r.Workspace, Profile: r.Profile}, Outcome: crank.OutcomePending}
	}
	body := apiJob(j)
	body.Repeated = ticket.Repeated
	c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+ticket.Job)
	return c.JSON(jobStatusCode(j), body)
}

func readRequest(c echo.Context, caller caller) (cranknode.Request, error) {
	h := c.Request().Header
	r := cranknode.Request{Workspace: caller.workspace, Profile: c.QueryParam("profile"), Key: h.Get(crankapi.HeaderIdempotencyKey)}
	var err error
	if r.ValidUntil, err = parseTimeHeader(h.Get(crankapi.HeaderValidUntil), crankapi.HeaderValidUntil); err != nil {
		return r, err
	}
	if r.Deadline, err = parseTimeHeader(h.Get(crankapi.HeaderDeadline), crankapi.HeaderDeadline); err != nil {
		return r, err
	}
	r.Payload, err = io.ReadAll(io.LimitReader(c.Request().Body, crank.MaxPayloadBytes+1))
	if crank.KindOf(err) == crank.KindUnavailable {
		return r, err // refused for others' sake; it has not run
	}
	if err != nil {
		return r, echo.NewHTTPError(http.StatusBadRequest, "the body could not be read whole")
	}
	if len(r.Payload) > crank.MaxPayloadBytes {
		return r, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the body is larger than 64 KiB")
	}
	return r, nil
}

// parseTimeHeader returns the zero time for an empty value.
func parseTimeHeader(text, name string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, echo.NewHTTPError(http.StatusBadRequest, "header "+name+" is no RFC 3339 time")
	}
	return t, nil
}

// parseWait returns the query parameter wait, at most maxLongPoll.
func parseWait(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "wait is no time with a unit, as 20s")
	}
	return min(d, maxLongPoll), nil
}

// jobStatusCode returns 200 for a job with an outcome and 202 before that.
func jobStatusCode(j crankstate.Job) int {
	if j.State == crankstate.JobEnded {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func apiJob(j crankstate.Job) crankapi.Job {
	return crankapi.Job{
		ID:        j.Job,
		Workspace: j.Workspace,
		Profile:   j.Profile,
		State:     string(j.State),
		Outcome:   j.Outcome,
		Result:    string(j.Result),
		Detail:    j.Detail,
		Digest:    j.Answer.Digest,
		Size:      j.Answer.Size,
		Submitted: j.SubmittedAt.UTC(),
	}
}

// findJob returns the job in the request's path if the caller may see it. With
// the query parameter wait it waits for the outcome.
func (s *server) findJob(c echo.Context) (crankstate.Job, error) {
	caller, err := s.identifyCaller(c)
	if err != nil {
		return crankstate.Job{}, err
	}
	wait, err := parseWait(c)
	if err != nil {
		return crankstate.Job{}, err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	j, err := s.Node.Wait(ctx, c.Param("job"))
	if err != nil {
		return j, err
	}
	return j, s.checkJobAccess(caller, j)
}

func (s *server) showJob(c echo.Context) error {
	j, err := s.findJob(c)
	if err != nil {
		return err
	}
	return c.JSON(jobStatusCode(j), apiJob(j))
}

// sendAnswer sends the answer of a job with its digest in a header.
func (s *server) sendAnswer(c echo.Context) error {
	j, err := s.findJob(c)
	if err != nil {
		return err
	}
	data, err := s.Node.Answer(c.Request().Context(), j)
	if err != nil {
		return err
	}
	c.Response().Header().Set(crankapi.HeaderDigest, j.Answer.Digest)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *server) cancelOwnJob(c echo.Context) error {
	j, err := s.findJob(c)
	if err != nil {
		return err
	}
	return s.cancelJob(c, j.Job)
}

func (s *server) cancelAnyJob(c echo.Context) error { return s.cancelJob(c, c.Param("job")) }

func (s *server) cancelJob(c echo.Context, id string) error {
	if err := s.Node.Cancel(c.Request().Context(), id); err != nil {
		return err
	}
	j, ok := s.Node.State().Job(id)
	if !ok {
		return crank.Fail("job cancel", crank.KindNotFound, "job %s does not exist", id)
	}
	return c.JSON(jobStatusCode(j), apiJob(j))
}
