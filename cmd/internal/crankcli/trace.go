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

// traceCommand prints the lines about one job from the JSON logs of instances,
// merged by time.
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
		return printError(c.env, crank.Fail("arguments", crank.KindInvalid, "expected a job"))
	}
	readers := []io.Reader{c.env.In}
	if f.NArg() > 1 {
		readers = nil
		for _, name := range f.Args()[1:] {
			file, err := os.Open(name)
			if err != nil {
				return printError(c.env, crank.Wrap("log open", crank.KindInvalid, err))
			}
			defer file.Close()
			readers = append(readers, file)
		}
	}
	lines, err := readTrace(f.Arg(0), readers)
	if err != nil {
		return printError(c.env, err)
	}
	for _, l := range lines {
		fmt.Fprintln(c.env.Out, l)
	}
	if len(lines) == 0 {
		return printError(c.env, crank.Fail("trace", crank.KindNotFound, "no log line is about job %s", f.Arg(0)))
	}
	return exitOK
}

// traceLine is one decoded log line.
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

// maxLogLineBytes limits a log line. A longer one is an error.
const maxLogLineBytes = 1 << 20

// readTrace returns the lines about a job and the changes of the planner's term, by
// time, or nothing if no line is about the job. Text before the first brace of a
// line is ignored, and so are lines without JSON.
func readTrace(job string, readers []io.Reader) ([]traceLine, error) {
	var lines []traceLine
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLogLineBytes)
		for scanner.Scan() {
			l, err := parseTraceLine(scanner.Bytes())
			if err == nil && l.matches(job) {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, crank.Wrap("log read", crank.KindInvalid, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	if !slices.ContainsFunc(lines, func(l traceLine) bool { return !l.isTermChange() }) {
		return nil, nil
	}
	return lines, nil
}

func parseTraceLine(text []byte) (traceLine, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return traceLine{}, errors.New("the line contains no JSON object")
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

// isTermChange reports whether the line records the start or end of a term.
func (l traceLine) isTermChange() bool {
	msg, _ := l.fields["msg"].(string)
	return msg == "lead: term begins" || msg == "lead: term ends" || msg == "lead: resigned"
}

// matches reports whether the line is about a job or a change of the term.
func (l traceLine) matches(job string) bool {
	text := func(name string) string {
		s, _ := l.fields[name].(string)
		return s
	}
	return l.isTermChange() || text("job") == job || text("for") == job || strings.HasPrefix(text("task"), job+".") || strings.HasSuffix(text("path"), "/"+job)
}
