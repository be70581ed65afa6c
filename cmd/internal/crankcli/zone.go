package crankcli

import (
	"context"
	"flag"
	"text/tabwriter"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

func zoneCommands(c Config) []subcommands.Command {
	out := &zoneOptions{out: true}
	in := &zoneOptions{}
	return []subcommands.Command{
		&clientCommand{clientFlags: clientFlags{env: c}, name: "out", argsUsage: "<zone>", synopsis: "take an availability zone out of service", flags: out.addFlags, run: out.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "in", argsUsage: "<zone>", synopsis: "bring an availability zone back into service", flags: in.addFlags, run: in.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "list", synopsis: "show all availability zones", run: listZones},
	}
}

// zoneOptions are the flags of zone out and zone in. Taking a zone out ignores
// concurrent changes; bringing it back fails if the zone changed since the base.
type zoneOptions struct {
	out  bool
	base int64
}

func (o *zoneOptions) addFlags(f *flag.FlagSet) {
	if !o.out {
		f.Int64Var(&o.base, "base", -1, "base of the zone as zone list showed it, -1 for the one in force")
	}
}

func (o *zoneOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	name, err := singleArgument(f, "availability zone")
	if err != nil {
		return printError(c.env, err)
	}
	r := crankapi.ZoneRequest{Out: o.out, Force: o.out, Base: crank.Position(o.base)}
	if !o.out && o.base < 0 {
		if r.Base, err = fetchZoneBase(ctx, client, name); err != nil {
			return printError(c.env, err)
		}
	}
	confirmation, err := client.SetZone(ctx, name, r)
	if err != nil {
		return printError(c.env, err)
	}
	state := "in"
	if o.out {
		state = "out"
	}
	return c.printConfirmation(confirmation, "availability zone "+name+" "+state)
}

func fetchZoneBase(ctx context.Context, client *crankclient.Client, name string) (crank.Position, error) {
	zones, err := client.Zones(ctx)
	if err != nil {
		return 0, err
	}
	for _, z := range zones {
		if z.Name == name {
			return z.Base, nil
		}
	}
	return 0, crank.Fail("zone in", crank.KindNotFound, "availability zone %s is not declared", name)
}

func listZones(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	zones, err := client.Zones(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(zones, func(w *tabwriter.Writer) {
		writeRow(w, "ZONE", "SERVICE", "WORKERS", "RUNNING", "BASE")
		for _, z := range zones {
			service := "in"
			if z.Out {
				service = "out"
			}
			writeRow(w, z.Name, service, z.Workers, z.Running, z.Base)
		}
	})
}

func workerCommands(c Config) []subcommands.Command {
	return []subcommands.Command{
		&clientCommand{clientFlags: clientFlags{env: c}, name: "list", synopsis: "show all workers", run: listWorkers},
	}
}

func listWorkers(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	workers, err := client.Workers(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(workers, func(w *tabwriter.Writer) {
		writeRow(w, "WORKER", "ZONE", "RACK", "STATE", "FREE", "ACCELERATORS", "PARTS")
		for _, worker := range workers {
			writeRow(w, worker.ID, worker.Zone, worker.Rack, worker.State, worker.Free.Accelerators, worker.Capacity.Accelerators, worker.Parts)
		}
	})
}

func reportCommands(c Config) []subcommands.Command {
	return []subcommands.Command{
		&clientCommand{clientFlags: clientFlags{env: c}, name: "burn", synopsis: "show how fast the error budgets burn", run: showBurnRates},
	}
}

func showBurnRates(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	report, err := client.Burn(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(report, func(w *tabwriter.Writer) {
		writeRow(w, "PROFILE", "WORKSPACE", "OBJECTIVE", "MINUTES", "TOTAL", "MISSED", "RATE", "ALERT")
		for _, l := range report.Lines {
			for _, window := range l.Windows {
				writeRow(w, l.Profile, l.Workspace, l.Objective, window.Minutes, window.Total, window.Missed, window.Rate, l.Alert)
			}
		}
		for _, cell := range report.AtRisk {
			writeRow(w, "guarantee cell "+cell+" can't be claimed now")
		}
	})
}
