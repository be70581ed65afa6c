package crankcli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankconf"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

func configCommands(c Config) []subcommands.Command {
	publish := &publishOptions{}
	show := &showOptions{}
	return []subcommands.Command{
		&clientCommand{clientFlags: clientFlags{env: c}, name: "publish", argsUsage: "<directory>", synopsis: "check a configuration directory and put it in force", flags: publish.addFlags, run: publish.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "diff", argsUsage: "<directory>", synopsis: "compare a directory with what is in force", run: diffConfig},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "show", synopsis: "show what is in force", flags: show.addFlags, run: show.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "history", synopsis: "show earlier publications", run: showConfigHistory},
	}
}

type publishOptions struct {
	base   int
	dryRun bool
}

func (o *publishOptions) addFlags(f *flag.FlagSet) {
	f.IntVar(&o.base, "base", -1, "version that the change is based on, -1 for the one in force")
	f.BoolVar(&o.dryRun, "dry-run", false, "check only")
}

func (o *publishOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	config, status := readConfig(c, f)
	if status != exitOK {
		return status
	}
	base := o.base
	if base < 0 {
		current, err := client.Config(ctx)
		if err != nil {
			return printError(c.env, err)
		}
		base = current.Version
	}
	confirmation, err := client.Publish(ctx, crankapi.PublishRequest{Base: base, DryRun: o.dryRun, Files: config.Files})
	if err != nil {
		return printError(c.env, err)
	}
	return c.printConfirmation(confirmation, fmt.Sprintf("version %d", confirmation.Version))
}

// printConfirmation prints which instances have applied a change. The exit code is
// exitUnconfirmed if some have not confirmed it.
func (c *clientCommand) printConfirmation(confirmation crankapi.Confirmation, what string) subcommands.ExitStatus {
	status := c.print(confirmation, func(w *tabwriter.Writer) {
		writeRow(w, what+" is in force at", strings.Join(confirmation.Applied, " "))
		if len(confirmation.Missing) > 0 {
			writeRow(w, "not confirmed by", strings.Join(confirmation.Missing, " "))
		}
	})
	if status == exitOK && len(confirmation.Missing) > 0 {
		return exitUnconfirmed
	}
	return status
}

// readConfig reads the directory that the command's argument names.
func readConfig(c *clientCommand, f *flag.FlagSet) (crank.Config, subcommands.ExitStatus) {
	directory, err := singleArgument(f, "configuration directory")
	if err != nil {
		return crank.Config{}, printError(c.env, err)
	}
	config, err := crankconf.ReadDirectory(directory)
	if err != nil {
		fmt.Fprintln(c.env.Err, err)
		return crank.Config{}, exitInvalid
	}
	return config, exitOK
}

func diffConfig(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	config, status := readConfig(c, f)
	if status != exitOK {
		return status
	}
	current, err := client.Config(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	lines := diffFiles(current.Config.Files, config.Files)
	return c.print(lines, func(w *tabwriter.Writer) {
		for _, line := range lines {
			writeRow(w, line)
		}
	})
}

// diffFiles lists the lines of old that new lacks, then those of new that old
// lacks. Their order is ignored.
func diffFiles(old, new []crank.File) []string {
	before, after := fileLines(old), fileLines(new)
	lines := []string{}
	for _, line := range before {
		if !slices.Contains(after, line) {
			lines = append(lines, "- "+line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			lines = append(lines, "+ "+line)
		}
	}
	return lines
}

// fileLines returns all lines but empty ones and # comments, each after its file
// and section.
func fileLines(files []crank.File) []string {
	var lines []string
	for _, file := range files {
		section := ""
		for _, line := range strings.Split(file.Text, "\n") {
			line = strings.TrimSpace(line)
			if strings.HasPrefix(line, "[") {
				section = line
			}
			if line != "" && !strings.HasPrefix(line, "#") {
				lines = append(lines, fmt.Sprintf("%s %s %s", file.Name, section, line))
			}
		}
	}
	return lines
}

type showOptions struct{ directory string }

func (o *showOptions) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.directory, "directory", "", "write the files into this directory")
}

func (o *showOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	current, err := client.Config(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	if o.directory != "" {
		for _, file := range current.Config.Files {
			path := filepath.Join(o.directory, filepath.Base(file.Name))
			if err := os.WriteFile(path, []byte(file.Text), 0o644); err != nil {
				return printError(c.env, err)
			}
		}
	}
	return c.print(current, func(w *tabwriter.Writer) {
		writeRow(w, "# version", current.Version)
		for _, file := range current.Config.Files {
			writeRow(w, "# "+file.Name)
			writeRow(w, file.Text)
		}
	})
}

func showConfigHistory(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	current, err := client.Config(ctx)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(current.History, func(w *tabwriter.Writer) {
		writeRow(w, "VERSION", "AT", "BY")
		for _, h := range current.History {
			writeRow(w, h.Version, h.At.Format(time.RFC3339), h.By)
		}
	})
}
