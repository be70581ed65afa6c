package crankcli

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

// Environment variables. envAddr is the default of the flag -addr.
const (
	envAddr = "CRANK_ADDR"
	envKey  = "CRANK_KEY"
)

// clientFlags are the flags of all commands that call an entry instance.
type clientFlags struct {
	env       Config
	addr      string
	workspace string
	json      bool
}

func (c *clientFlags) addFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", c.env.Getenv(envAddr), "IP address and port of an entry instance, or several with commas (or "+envAddr+")")
	f.StringVar(&c.workspace, "workspace", "", "workspace of a caller without a key")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// client returns a client for the flags. The key comes from the environment, since
// flags are visible in process lists.
func (c *clientFlags) client() (*crankclient.Client, error) {
	addrs := strings.Split(c.addr, ",")
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, crank.Fail("flag -addr", crank.KindInvalid, "%q is no IP address with a port", addr)
		}
	}
	return crankclient.New(crankclient.Config{Addrs: addrs, APIKey: c.env.Getenv(envKey), Workspace: c.workspace}), nil
}

// print writes value as JSON with the flag -json, else as a table.
func (c *clientFlags) print(value any, table func(*tabwriter.Writer)) subcommands.ExitStatus {
	if c.json {
		encoder := json.NewEncoder(c.env.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return printError(c.env, err)
		}
		return exitOK
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	table(w)
	if err := w.Flush(); err != nil {
		return printError(c.env, err)
	}
	return exitOK
}

// singleArgument returns the only argument, which errors call name.
func singleArgument(f *flag.FlagSet, name string) (string, error) {
	if f.NArg() != 1 {
		return "", crank.Fail("arguments", crank.KindInvalid, "expected one argument, the %s", name)
	}
	return f.Arg(0), nil
}

// writeRow writes one line of a table.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
