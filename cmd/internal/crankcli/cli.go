// Package crankcli implements the command line of cranberrycrank: commands that
// run an entry instance, call one over HTTP, or check files. The exit code says
// whether a change was made.
package crankcli

import (
	"context"
	"flag"
	"fmt"
	"io"

	crank "cranberrycrank"

	"github.com/google/subcommands"
)

// Config holds the arguments, streams and environment of an invocation.
type Config struct {
	Args   []string
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
}

// Exit codes.
const (
	exitOK          subcommands.ExitStatus = 0
	exitFailure     subcommands.ExitStatus = 1 // the request failed, or the job did
	exitInvalid     subcommands.ExitStatus = 2 // invalid usage, settings or configuration
	exitConflict    subcommands.ExitStatus = 3 // a concurrent change came first
	exitUnconfirmed subcommands.ExitStatus = 4 // done, but not confirmed by every instance
	exitUnavailable subcommands.ExitStatus = 5 // certainly not done, a retry may help
	exitUnknown     subcommands.ExitStatus = 6 // may have been done
)

const programName = "cranberrycrank"

// Version is the version that the program reports.
const Version = "0.1.0"

// Run runs one command and returns the exit code.
func Run(ctx context.Context, c Config) int {
	return int(runSubcommand(ctx, c, programName, c.Args,
		&serveCommand{env: c},
		&entryCommand{env: c},
		&checkCommand{env: c},
		&versionCommand{env: c},
		&commandGroup{env: c, name: "config", synopsis: "publish and show the configuration", commands: configCommands(c)},
		&commandGroup{env: c, name: "zone", synopsis: "take availability zones out of service and bring them back", commands: zoneCommands(c)},
		&commandGroup{env: c, name: "worker", synopsis: "show workers", commands: workerCommands(c)},
		&commandGroup{env: c, name: "job", synopsis: "submit and follow jobs", commands: jobCommands(c)},
		&commandGroup{env: c, name: "report", synopsis: "report on service levels", commands: reportCommands(c)},
	))
}

// commandGroup is a command with subcommands, as in "cranberrycrank job submit".
type commandGroup struct {
	env      Config
	name     string
	synopsis string
	commands []subcommands.Command
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	usage := fmt.Sprintf("%s <subcommand> <subcommand flags>\n\n", g.name)
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runSubcommand(ctx, g.env, programName+" "+g.name, f.Args(), g.commands...)
}

// runSubcommand parses args and runs the command that they name.
func runSubcommand(ctx context.Context, c Config, name string, args []string, commands ...subcommands.Command) subcommands.ExitStatus {
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

// printError prints an error and returns the exit code for its kind.
func printError(c Config, err error) subcommands.ExitStatus {
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
