package main

import (
	"context"
	"flag"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakerig"
	"cranberrycrank/standin/crankfakesite"
)

type planCommand struct {
	site string
	seed uint64
}

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "print the plan of a seed" }
func (*planCommand) Usage() string {
	return `cranksite plan -site FILE [-seed SEED]
The plan can be edited, cut down, and played with "cranksite play -plan FILE".
`
}

func (c *planCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "", "description of the site")
	f.Uint64Var(&c.seed, "seed", 1, "seed")
}

func (c *planCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	site, err := crankfakesite.Read(c.site)
	if err == nil {
		err = crankfakeplan.Draw(crankfakerig.Scope(site), c.seed).Write(os.Stdout)
	}
	if err != nil {
		slog.Error("plan: not drawn", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
