package crankhttp

import (
	"errors"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankburn"
	"cranberrycrank/internal/crankconf"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankplan"

	"github.com/labstack/echo/v4"
)

func (s *server) showConfiguration(c echo.Context) error {
	state := s.Node.State()
	p := crankapi.PublishedConfig{Version: state.Config.Version, Config: state.Config, History: []crankapi.ConfigVersion{}}
	for _, h := range state.History {
		p.History = append(p.History, crankapi.ConfigVersion{Version: h.Version, At: h.At.UTC(), By: h.By})
	}
	return c.JSON(http.StatusOK, p)
}

// publishConfiguration validates a configuration completely, with its guarantees
// against the capacity of the known workers, before anything is appended.
func (s *server) publishConfiguration(c echo.Context) error {
	var r crankapi.PublishRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	config, err := crankconf.ParseFiles(r.Files)
	var faults *crankconf.Error
	if errors.As(err, &faults) {
		return crank.Fail("config publish", crank.KindInvalid, "%s", faults.Error())
	}
	state := s.Node.State()
	if missing := crankplan.Unsatisfiable(idleWorkers(state), config.Workspaces); len(missing) > 0 {
		return crank.Fail("config publish", crank.KindInvalid, "the guarantees exceed the capacity: no place for cell %s and %d more", missing[0], len(missing)-1)
	}
	if state.Config.Version != r.Base {
		return crank.Fail("config publish", crank.KindConflict, "version %d is in force, not %d", state.Config.Version, r.Base)
	}
	if r.DryRun {
		return c.JSON(http.StatusOK, crankapi.Confirmation{Version: r.Base})
	}
	confirmation, err := s.Node.Publish(c.Request().Context(), r.Base, config)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, apiConfirmation(confirmation))
}

func apiConfirmation(c cranknode.Confirmation) crankapi.Confirmation {
	return crankapi.Confirmation{Version: c.Version, Applied: c.Applied, Missing: c.Missing}
}

// idleWorkers returns all known workers as if they were idle and in service.
func idleWorkers(s crankstate.State) []crank.RoundWorker {
	var workers []crank.RoundWorker
	for _, w := range s.Workers() {
		workers = append(workers, crank.RoundWorker{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity, Free: w.Capacity, InService: true})
	}
	return workers
}

func (s *server) listZones(c echo.Context) error {
	state := s.Node.State()
	zones := []crankapi.Zone{}
	for _, z := range state.Zones() {
		zone := crankapi.Zone{Name: z.Name, Out: z.Out, Base: z.Changed}
		for _, w := range state.Workers() {
			if w.Zone == z.Name {
				zone.Workers++
				zone.Running += len(w.Attempts)
			}
		}
		zones = append(zones, zone)
	}
	return c.JSON(http.StatusOK, zones)
}

func (s *server) setZone(c echo.Context) error {
	var r crankapi.ZoneRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	z := crankrecord.Zone{Zone: c.Param("zone"), Out: r.Out, Base: r.Base, Force: r.Force}
	confirmation, err := s.Node.SetZone(c.Request().Context(), z)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, apiConfirmation(confirmation))
}

func (s *server) listWorkers(c echo.Context) error {
	state := s.Node.State()
	workers := []crankapi.Worker{}
	for _, w := range state.Workers() {
		workers = append(workers, crankapi.Worker{
			ID:       w.ID,
			Zone:     w.Zone,
			Rack:     w.Rack,
			State:    workerState(state, w),
			Capacity: w.Capacity,
			Free:     w.Free(),
			Parts:    len(w.Attempts),
			Failures: w.Failures,
		})
	}
	return c.JSON(http.StatusOK, workers)
}

// workerState returns the first state that applies to a worker.
func workerState(state crankstate.State, w crankstate.Worker) string {
	switch {
	case w.Gone:
		return "gone"
	case w.Lost:
		return "lost"
	case w.Leaving:
		return "leaving"
	case state.Zone(w.Zone).Out:
		return "zone-out"
	case time.Now().Before(w.QuarantinedUntil):
		return "set-aside"
	}
	return "in-service"
}

func (s *server) listJobs(c echo.Context) error {
	state := s.Node.State()
	lists := map[string]func() []crankstate.Job{"waiting": state.Waiting, "active": state.Active, "ended": state.Ended}
	want := c.QueryParam("state")
	jobs := []crankapi.Job{}
	for _, name := range []string{"waiting", "active", "ended"} {
		if want != "" && want != name {
			continue
		}
		for _, j := range lists[name]() {
			jobs = append(jobs, apiJob(j))
		}
	}
	return c.JSON(http.StatusOK, jobs)
}

func (s *server) explainJob(c echo.Context) error {
	j, ok := s.Node.State().Job(c.Param("job"))
	if !ok {
		return crank.Fail("job explain", crank.KindNotFound, "job %s does not exist", c.Param("job"))
	}
	detail := crankapi.JobDetail{Job: apiJob(j), Attempts: j.AttemptCount, Cell: j.Attempt.Cell, Owner: j.Attempt.Owner, Explain: s.Node.Explain(j)}
	for _, p := range j.Attempt.Parts {
		detail.Parts = append(detail.Parts, p.Part)
	}
	return c.JSON(http.StatusOK, detail)
}

func (s *server) reportBurnRates(c echo.Context) error {
	report := crankburn.Report(s.Node.State(), time.Now())
	report.AtRisk = s.Node.CellsAtRisk()
	if report.AtRisk == nil {
		report.AtRisk = []string{}
	}
	return c.JSON(http.StatusOK, report)
}
