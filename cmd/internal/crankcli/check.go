package crankcli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"

	"cranberrycrank/internal/crankconf"

	"github.com/google/subcommands"
)

// checkCommand validates settings and configuration files offline.
type checkCommand struct {
	env       Config
	settings  string
	entry     string
	directory string
	json      bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings and configuration" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-settings file] [-entry file] [-config directory]\n  check settings and configuration, and exit with 2 when something is wrong\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings of a process")
	f.StringVar(&c.entry, "entry", "", "settings of a process in front of leased workers")
	f.StringVar(&c.directory, "config", "", "configuration directory")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" && c.directory == "" && c.entry == "" {
		fmt.Fprintln(c.env.Err, "check: none of -settings, -entry and -config is given")
		return exitInvalid
	}
	faults := []crankconf.Fault{}
	if c.settings != "" {
		_, err := crankconf.ReadSettings(c.settings)
		faults = append(faults, faultsOf(err)...)
	}
	if c.entry != "" {
		_, err := crankconf.ReadEntrySettings(c.entry)
		faults = append(faults, faultsOf(err)...)
	}
	if c.directory != "" {
		_, err := crankconf.ReadDirectory(c.directory)
		faults = append(faults, faultsOf(err)...)
	}
	c.print(faults)
	if len(faults) > 0 {
		return exitInvalid
	}
	return exitOK
}

func faultsOf(err error) []crankconf.Fault {
	var e *crankconf.Error
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

func (c *checkCommand) print(faults []crankconf.Fault) {
	if c.json {
		encoder := json.NewEncoder(c.env.Out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(faults)
		return
	}
	for _, f := range faults {
		fmt.Fprintln(c.env.Out, f)
	}
	if len(faults) == 0 {
		fmt.Fprintln(c.env.Out, "no faults")
	}
}

type versionCommand struct {
	env  Config
	json bool
}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n  print the version\n" }

// SetFlags implements subcommands.Command.
func (c *versionCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.json {
		fmt.Fprintf(c.env.Out, "{\"version\": %q}\n", Version)
		return exitOK
	}
	fmt.Fprintln(c.env.Out, programName, Version)
	return exitOK
}
