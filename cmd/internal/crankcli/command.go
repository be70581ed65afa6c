package crankcli

import (
	"context"
	"flag"

	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

// command is a subcommand that calls an entry instance.
type command struct {
	remote
	name     string
	args     string // shown in the usage
	synopsis string
	flags    func(*flag.FlagSet)
	run      func(context.Context, *command, *crankclient.Client, *flag.FlagSet) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	usage := c.name + " [flags]"
	if c.args != "" {
		usage += " " + c.args
	}
	return usage + "\n  " + c.synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return fail(c.env, err)
	}
	return c.run(ctx, c, client, f)
}
