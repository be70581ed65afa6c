package crankcli

import (
	"context"
	"flag"

	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

// clientCommand is a subcommand that calls an entry instance over HTTP.
type clientCommand struct {
	clientFlags
	name      string
	argsUsage string // positional arguments, for the usage
	synopsis  string
	flags     func(*flag.FlagSet)
	run       func(context.Context, *clientCommand, *crankclient.Client, *flag.FlagSet) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *clientCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *clientCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *clientCommand) Usage() string {
	usage := c.name + " [flags]"
	if c.argsUsage != "" {
		usage += " " + c.argsUsage
	}
	return usage + "\n  " + c.synopsis + "\n"
}

// SetFlags implements subcommands.Command.
func (c *clientCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *clientCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return printError(c.env, err)
	}
	return c.run(ctx, c, client, f)
}
