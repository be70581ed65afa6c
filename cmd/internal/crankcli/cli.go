// Package crankcli is the command line of cranberrycrank.
package crankcli

import (
	"context"
	"flag"
	"fmt"
	"io"

	crank "cranberrycrank"

	"github.com/google/subcommands"
)

// Config sets up one run of the command line.
type Config struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Env  func(string) string
}

// Exit codes.
const (
	exitOK          subcommands.ExitStatus = 0
	exitFailure     subcommands.ExitStatus = 1 // the request failed, or the job did
	exitInvalid     subcommands.ExitStatus = 2 // wrong usage, settings or configuration
	exitConflict    subcommands.ExitStatus = 3 // another change came first
	exitUnconfirmed subcommands.ExitStatus = 4 // done, but not yet in force at every instance
	exitUnavailable subcommands.ExitStatus = 5 // certainly not done, a retry may help
	exitUnknown     subcommands.ExitStatus = 6 // may have been done
)

const programName = "cranberrycrank"

// Version is the version that the command line reports.
const Version = "0.1.0"

// Run runs one command and returns the exit code of the process.
func Run(ctx context.Context, c Config) int {
	return int(execute(ctx, c, programName, c.Args,
		&serveCommand{env: c},
		&entryCommand{env: c},
		&checkCommand{env: c},
		&versionCommand{env: c},
		&group{env: c, name: "config", synopsis: "publish and show the configuration", commands: configCommands(c)},
		&group{env: c, name: "zone", synopsis: "take availability zones out of service and bring them back", commands: zoneCommands(c)},
		&group{env: c, name: "worker", synopsis: "show workers", commands: workerCommands(c)},
		&group{env: c, name: "job", synopsis: "submit and follow jobs", commands: jobCommands(c)},
		&group{env: c, name: "report", synopsis: "report on service levels", commands: reportCommands(c)},
	))
}

// group is a command with subcommands of its own.
type group struct {
	env      Config
	name     string
	synopsis string
	commands []subcommands.Command
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	usage := fmt.Sprintf("%s <subcommand> <subcommand flags>\n\n", g.name)
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return execute(ctx, g.env, programName+" "+g.name, f.Args(), g.commands...)
}

// execute parses arguments and runs the one of the commands that they name.
func execute(ctx context.Context, c Config, name string, args []string, commands ...subcommands.Command) subcommands.ExitStatus {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.Err)
	commander := subcommands.NewCommander(flags, name)
	commander.Output = c.Out
	commander.Error = c.Err
	commander.Register(commander.HelpCommand(), "")
	for _, command := range commands {
		commander.Register(command, "")
	}
	if err := flags.Parse(args); err != nil {
		return exitInvalid
	}
	return commander.Execute(ctx)
}

// fail prints an error and returns its exit code.
func fail(c Config, err error) subcommands.ExitStatus {
	fmt.Fprintf(c.Err, "%s: %v\n", programName, err)
	switch crank.KindOf(err) {
	case crank.KindInvalid:
		return exitInvalid
	case crank.KindConflict:
		return exitConflict
	case crank.KindUnavailable, crank.KindLimited:
		return exitUnavailable
	case crank.KindUnknown:
		return exitUnknown
	}
	return exitFailure
}
