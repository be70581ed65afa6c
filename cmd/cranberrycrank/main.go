// Command cranberrycrank schedules multi-accelerator jobs and guarantees capacity
// to tenants. "cranberrycrank help" lists its subcommands.
package main

import (
	"context"
	"os"

	"cranberrycrank/cmd/internal/crankcli"
)

func main() {
	os.Exit(crankcli.Run(context.Background(), crankcli.Config{Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, In: os.Stdin, Getenv: os.Getenv}))
}
