package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakereport"
	"cranberrycrank/standin/crankfakerig"
	"cranberrycrank/standin/crankfakesite"
)

type playCommand struct {
	site, plan, binary, directory string
	first                         uint64
	seeds                         int
}

func (*playCommand) Name() string     { return "play" }
func (*playCommand) Synopsis() string { return "run a site under a plan of disturbances" }
func (*playCommand) Usage() string {
	return `cranksite play -site FILE -binary FILE [-first SEED] [-seeds N] [-plan FILE] [-directory DIR]
Logs, the plan and the report of each seed go to a directory of its own.
`
}

func (c *playCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "", "description of the site")
	f.StringVar(&c.binary, "binary", "target/cranberrycrank", "program of the entry instances")
	f.StringVar(&c.plan, "plan", "", "plan to play instead of the seed's")
	f.StringVar(&c.directory, "directory", "site-runs", "directory for the runs")
	f.Uint64Var(&c.first, "first", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds")
}

func (c *playCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	broken := 0
	for i := range c.seeds {
		report, err := c.play(ctx, logger, c.first+uint64(i))
		if err != nil {
			logger.Error("site: run failed", "seed", c.first+uint64(i), "error", err)
			return subcommands.ExitFailure
		}
		report.Print(os.Stdout)
		if report.Broken() {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds broken\n", broken, c.seeds)
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *playCommand) play(ctx context.Context, logger *slog.Logger, seed uint64) (report crankfakereport.Report, err error) {
	config := crankfakerig.Config{Binary: c.binary, Seed: seed, Logger: logger.With("seed", seed)}
	if config.Site, err = crankfakesite.Read(c.site); err != nil {
		return report, err
	}
	if c.plan != "" {
		f, err := os.Open(c.plan)
		if err != nil {
			return report, err
		}
		defer f.Close()
		if config.Plan, err = crankfakeplan.Read(f); err != nil {
			return report, err
		}
	}
	config.Directory = filepath.Join(c.directory, fmt.Sprint(seed))
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return report, err
	}
	rig, err := crankfakerig.New(config)
	if err != nil {
		return report, err
	}
	if report, err = rig.Run(ctx); err != nil {
		return report, err
	}
	return report, plot(config.Directory, report.Series())
}
