package crankcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankclient"

	"github.com/google/subcommands"
)

func jobCommands(c Config) []subcommands.Command {
	submit := &submitOptions{}
	list := &listOptions{}
	wait := &waitOptions{}
	return []subcommands.Command{
		&clientCommand{clientFlags: clientFlags{env: c}, name: "submit", argsUsage: "<profile>", synopsis: "submit a job, its payload from standard input or -payload", flags: submit.addFlags, run: submit.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "list", synopsis: "list jobs (operators)", flags: list.addFlags, run: list.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "show", argsUsage: "<job>", synopsis: "show a job", run: showJob},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "wait", argsUsage: "<job>", synopsis: "wait for the outcome of a job", flags: wait.addFlags, run: wait.run},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "cancel", argsUsage: "<job>", synopsis: "end a job", run: cancelJob},
		&clientCommand{clientFlags: clientFlags{env: c}, name: "explain", argsUsage: "<job>", synopsis: "say why a job waits or where it went (operators)", run: explainJob},
		&traceCommand{env: c},
	}
}

type submitOptions struct {
	key      string
	validity time.Duration
	deadline time.Duration
	wait     time.Duration
	payload  string
	output   string
}

func (o *submitOptions) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.key, "key", "", "idempotency key")
	f.DurationVar(&o.validity, "validity", 0, "how long the key is valid")
	f.DurationVar(&o.deadline, "deadline", 0, "a job not started by then is not run")
	f.DurationVar(&o.wait, "wait", 0, "wait for the outcome")
	f.StringVar(&o.payload, "payload", "", "payload, instead of standard input")
	f.StringVar(&o.output, "output", "", "file for the answer")
}

func (o *submitOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	profile, err := singleArgument(f, "profile")
	if err != nil {
		return printError(c.env, err)
	}
	s := crankclient.Submission{Profile: profile, IdempotencyKey: o.key, Payload: []byte(o.payload)}
	if o.payload == "" {
		if s.Payload, err = io.ReadAll(c.env.In); err != nil {
			return printError(c.env, err)
		}
	}
	if o.validity > 0 {
		s.ValidUntil = time.Now().Add(o.validity)
	}
	if o.deadline > 0 {
		s.Deadline = time.Now().Add(o.deadline)
	}
	job, err := client.Submit(ctx, s)
	if err != nil {
		return printError(c.env, err)
	}
	if o.wait == 0 {
		return c.printJob(job)
	}
	return c.waitFor(ctx, client, job.ID, o.wait, o.output)
}

type waitOptions struct {
	limit  time.Duration
	output string
}

func (o *waitOptions) addFlags(f *flag.FlagSet) {
	f.DurationVar(&o.limit, "limit", time.Minute, "longest wait")
	f.StringVar(&o.output, "output", "", "file for the answer")
}

func (o *waitOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	id, err := singleArgument(f, "job")
	if err != nil {
		return printError(c.env, err)
	}
	return c.waitFor(ctx, client, id, o.limit, o.output)
}

// Timing of waitFor.
const (
	pollWait     = 10 * time.Second       // longest wait of one request
	pollInterval = 200 * time.Millisecond // between requests
)

// waitFor polls for the outcome of a job and prints the answer, or the job if it
// did not succeed. It retries after errors other than KindNotFound, as when the
// instance restarts.
func (c *clientCommand) waitFor(ctx context.Context, client *crankclient.Client, id string, limit time.Duration, output string) subcommands.ExitStatus {
	deadline := time.Now().Add(limit)
	var job crankapi.Job
	var err error
	for time.Now().Before(deadline) {
		job, err = client.Job(ctx, id, min(pollWait, time.Until(deadline)))
		if err == nil && job.Outcome != crank.OutcomePending {
			break
		}
		if err != nil && crank.KindOf(err) == crank.KindNotFound {
			break
		}
		time.Sleep(pollInterval)
	}
	if err != nil {
		return printError(c.env, err)
	}
	if job.Outcome != crank.OutcomeDone || job.Result != "succeeded" {
		c.printJob(job)
		return exitFailure
	}
	answer, err := client.Answer(ctx, id)
	if err != nil {
		return printError(c.env, err)
	}
	return c.printAnswer(job, answer, output)
}

// printAnswer writes the answer to the output file, or to standard output unless
// -json is set.
func (c *clientCommand) printAnswer(job crankapi.Job, answer []byte, output string) subcommands.ExitStatus {
	if output != "" {
		if err := os.WriteFile(output, answer, 0o600); err != nil {
			return printError(c.env, err)
		}
		return c.printJob(job)
	}
	if c.json {
		return c.printJob(job)
	}
	fmt.Fprintf(c.env.Out, "%s\n", answer)
	return exitOK
}

func (c *clientCommand) printJob(job crankapi.Job) subcommands.ExitStatus {
	return c.print(job, func(w *tabwriter.Writer) {
		writeRow(w, "JOB", "PROFILE", "WORKSPACE", "STATE", "OUTCOME", "RESULT", "DETAIL")
		writeRow(w, job.ID, job.Profile, job.Workspace, job.State, job.Outcome, job.Result, job.Detail)
	})
}

type listOptions struct{ state string }

func (o *listOptions) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.state, "state", "", "waiting, active or ended")
}

func (o *listOptions) run(ctx context.Context, c *clientCommand, client *crankclient.Client, _ *flag.FlagSet) subcommands.ExitStatus {
	jobs, err := client.Jobs(ctx, o.state)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(jobs, func(w *tabwriter.Writer) {
		writeRow(w, "JOB", "PROFILE", "WORKSPACE", "STATE", "OUTCOME", "RESULT")
		for _, j := range jobs {
			writeRow(w, j.ID, j.Profile, j.Workspace, j.State, j.Outcome, j.Result)
		}
	})
}

func showJob(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	id, err := singleArgument(f, "job")
	if err != nil {
		return printError(c.env, err)
	}
	job, err := client.Job(ctx, id, 0)
	if err != nil {
		return printError(c.env, err)
	}
	return c.printJob(job)
}

func cancelJob(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	id, err := singleArgument(f, "job")
	if err != nil {
		return printError(c.env, err)
	}
	job, err := client.Cancel(ctx, id)
	if err != nil {
		return printError(c.env, err)
	}
	return c.printJob(job)
}

func explainJob(ctx context.Context, c *clientCommand, client *crankclient.Client, f *flag.FlagSet) subcommands.ExitStatus {
	id, err := singleArgument(f, "job")
	if err != nil {
		return printError(c.env, err)
	}
	job, err := client.Explain(ctx, id)
	if err != nil {
		return printError(c.env, err)
	}
	return c.print(job, func(w *tabwriter.Writer) {
		writeRow(w, "job", job.ID)
		writeRow(w, "state", job.State)
		writeRow(w, "attempts", job.Attempts)
		for _, p := range job.Parts {
			writeRow(w, "worker", p.Worker, p.Tasks)
		}
		writeRow(w, "reason", job.Explain)
	})
}
