package crankhttp

import (
	"context"
	"io"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/pkg/crankapi"

	"github.com/labstack/echo/v4"
)

// maxWait bounds one long poll, and with it a graceful shutdown.
const maxWait = 20 * time.Second

// submit accepts a job. With ?wait it also waits for the outcome.
func (s *server) submit(c echo.Context) error {
	who, err := s.identify(c)
	if err != nil {
		return err
	}
	r, err := readRequest(c, who)
	if err != nil {
		return err
	}
	wait, err := waitOf(c)
	if err != nil {
		return err
	}
	if err := s.mayUse(who, r.Profile); err != nil {
		return err
	}
	ticket, err := s.Node.Submit(c.Request().Context(), r)
	if err != nil {
		s.Scope.Tagged(map[string]string{"workspace": who.workspace, "kind": string(crank.KindOf(err))}).Counter("refused").Inc(1)
		return err
	}
	s.Scope.Tagged(map[string]string{"workspace": who.workspace}).Counter("accepted").Inc(1)
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	j, err := s.Node.Wait(ctx, ticket.Job)
	if err != nil {
		j = crankfold.Job{Submission: crank.Submission{Job: ticket.Job, Workspace: r.Workspace, Profile: r.Profile}, Outcome: crank.OutcomePending}
	}
	body := view(j)
	body.Repeated = ticket.Repeated
	c.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+ticket.Job)
	return c.JSON(jobStatus(j), body)
}

func readRequest(c echo.Context, who caller) (cranknode.Request, error) {
	h := c.Request().Header
	r := cranknode.Request{Workspace: who.workspace, Profile: c.QueryParam("profile"), Key: h.Get(crankapi.HeaderKey)}
	var err error
	if r.ValidUntil, err = timeOf(h.Get(crankapi.HeaderValidUntil), crankapi.HeaderValidUntil); err != nil {
		return r, err
	}
	if r.Deadline, err = timeOf(h.Get(crankapi.HeaderDeadline), crankapi.HeaderDeadline); err != nil {
		return r, err
	}
	r.Payload, err = io.ReadAll(io.LimitReader(c.Request().Body, crank.MaxPayloadBytes+1))
	if err != nil {
		return r, echo.NewHTTPError(http.StatusBadRequest, "the body could not be read whole")
	}
	if len(r.Payload) > crank.MaxPayloadBytes {
		return r, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the body is larger than 64 KiB")
	}
	return r, nil
}

func timeOf(text, name string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, echo.NewHTTPError(http.StatusBadRequest, "header "+name+" is no RFC 3339 time")
	}
	return t, nil
}

func waitOf(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "wait is no time with a unit, as 20s")
	}
	return min(d, maxWait), nil
}

// jobStatus is 200 once a job has an outcome, and 202 before.
func jobStatus(j crankfold.Job) int {
	if j.State == crankfold.JobEnded {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func view(j crankfold.Job) crankapi.Job {
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

// find returns the job that a caller names, after a wait for its outcome.
func (s *server) find(c echo.Context) (crankfold.Job, error) {
	who, err := s.identify(c)
	if err != nil {
		return crankfold.Job{}, err
	}
	wait, err := waitOf(c)
	if err != nil {
		return crankfold.Job{}, err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	j, err := s.Node.Wait(ctx, c.Param("job"))
	if err != nil {
		return j, err
	}
	return j, s.owned(who, j)
}

func (s *server) job(c echo.Context) error {
	j, err := s.find(c)
	if err != nil {
		return err
	}
	return c.JSON(jobStatus(j), view(j))
}

// answer sends the answer of a job that is done, with its digest.
func (s *server) answer(c echo.Context) error {
	j, err := s.find(c)
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

func (s *server) cancel(c echo.Context) error {
	j, err := s.find(c)
	if err != nil {
		return err
	}
	return s.cancelJob(c, j.Job)
}

func (s *server) cancelAny(c echo.Context) error { return s.cancelJob(c, c.Param("job")) }

func (s *server) cancelJob(c echo.Context, id string) error {
	if err := s.Node.Cancel(c.Request().Context(), id); err != nil {
		return err
	}
	j, ok := s.Node.State().Job(id)
	if !ok {
		return crank.Fail("job cancel", crank.KindNotFound, "job %s does not exist", id)
	}
	return c.JSON(jobStatus(j), view(j))
}
