package crankcli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"

	"github.com/google/subcommands"
)

// traceCommand prints the history of one job from the logs of instances.
type traceCommand struct{ env Config }

// Name implements subcommands.Command.
func (*traceCommand) Name() string { return "trace" }

// Synopsis implements subcommands.Command.
func (*traceCommand) Synopsis() string { return "print a job's history from the logs of instances" }

// Usage implements subcommands.Command.
func (*traceCommand) Usage() string {
	return "trace <job> [log file...]\n  print all log lines about a job, and changes of the planner's term, in the order of time\n"
}

// SetFlags implements subcommands.Command.
func (*traceCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(c.env, crank.Fail("arguments", crank.KindInvalid, "expected a job"))
	}
	readers := []io.Reader{c.env.In}
	if f.NArg() > 1 {
		readers = nil
		for _, name := range f.Args()[1:] {
			file, err := os.Open(name)
			if err != nil {
				return fail(c.env, crank.Wrap("log open", crank.KindInvalid, err))
			}
			defer file.Close()
			readers = append(readers, file)
		}
	}
	lines, err := readTrace(f.Arg(0), readers)
	if err != nil {
		return fail(c.env, err)
	}
	for _, l := range lines {
		fmt.Fprintln(c.env.Out, l)
	}
	if len(lines) == 0 {
		return fail(c.env, crank.Fail("trace", crank.KindNotFound, "no line is about job %s", f.Arg(0)))
	}
	return exitOK
}

// traceLine is one line of a log.
type traceLine struct {
	at     time.Time
	fields map[string]any
}

// String returns the line as time, instance, message and the other fields.
func (l traceLine) String() string {
	text := fmt.Sprintf("%s %-16v %v", l.at.Format("15:04:05.000"), l.fields["instance"], l.fields["msg"])
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch value := l.fields[name]; name {
		case "time", "instance", "msg", "level":
		default:
			if value != nil {
				text += fmt.Sprintf(" %s=%v", name, value)
			}
		}
	}
	return text
}

// maxLogLine bounds one line of a log, bytes.
const maxLogLine = 1 << 20

// readTrace returns the lines about a job in the order of time. Text before
// the first brace of a line is ignored, as are lines that hold no JSON.
func readTrace(job string, readers []io.Reader) ([]traceLine, error) {
	var lines []traceLine
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			l, err := parseTraceLine(scanner.Bytes())
			if err == nil && l.about(job) {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, crank.Wrap("log read", crank.KindInvalid, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	if !slices.ContainsFunc(lines, func(l traceLine) bool { return !l.term() }) {
		return nil, nil
	}
	return lines, nil
}

func parseTraceLine(text []byte) (traceLine, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return traceLine{}, errors.New("the line holds no JSON")
	}
	var l traceLine
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
	decoder.UseNumber()
	if err := decoder.Decode(&l.fields); err != nil {
		return l, err
	}
	at, ok := l.fields["time"].(string)
	if !ok {
		return l, errors.New("the line has no time")
	}
	var err error
	l.at, err = time.Parse(time.RFC3339Nano, at)
	return l, err
}

// term reports whether the line tells of the planner's term.
func (l traceLine) term() bool {
	msg, _ := l.fields["msg"].(string)
	return msg == "lead: term begins" || msg == "lead: term ends" || msg == "lead: resigned"
}

// about reports whether the line tells of a job or of the planner's term.
func (l traceLine) about(job string) bool {
	text := func(name string) string {
		s, _ := l.fields[name].(string)
		return s
	}
	return l.term() || text("job") == job || text("for") == job || strings.HasPrefix(text("task"), job+".") || strings.HasSuffix(text("path"), "/"+job)
}
