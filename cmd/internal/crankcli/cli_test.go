package crankcli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// runCLI runs one command line and returns its output and exit code.
func runCLI(args ...string) string {
	var out bytes.Buffer
	env := func(string) string { return "" }
	code := Run(context.Background(), Config{Args: args, In: strings.NewReader(""), Out: &out, Err: &out, Getenv: env})
	return fmt.Sprintf("$ cranberrycrank %s\n%sexit %d\n\n", strings.Join(args, " "), out.String(), code)
}

// compareGolden compares got with a golden file, or rewrites the file with -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}

func TestHelp(t *testing.T) {
	var all strings.Builder
	for _, args := range [][]string{
		{"help"}, {"version"}, {"help", "serve"}, {"help", "entry"}, {"help", "check"},
		{"config", "help", "publish"}, {"config", "help", "diff"}, {"config", "help", "show"}, {"config", "help", "history"},
		{"zone", "help", "out"}, {"zone", "help", "in"}, {"zone", "help", "list"}, {"worker", "help", "list"},
		{"job", "help", "submit"}, {"job", "help", "list"}, {"job", "help", "show"}, {"job", "help", "wait"},
		{"job", "help", "cancel"}, {"job", "help", "explain"}, {"job", "help", "trace"}, {"report", "help", "burn"},
	} {
		all.WriteString(runCLI(args...))
	}
	compareGolden(t, "help.golden", all.String())
}

func TestFaults(t *testing.T) {
	var all strings.Builder
	for _, args := range [][]string{
		{"check"},
		{"check", "-settings", "testdata/faulty.ini"},
		{"check", "-config", "testdata/faulty"},
		{"check", "-config", "../../../examples/lahore/config", "-settings", "../../../examples/lahore/entry.ini"},
		{"check", "-config", "../../../examples/lagos/config", "-settings", "../../../examples/lagos/entry.ini"},
		{"serve", "-settings", "testdata/missing.ini"},
		{"job", "submit", "-addr", "example.org:7000", "quote-check"},
		{"job", "show", "-addr", "127.0.0.1:1"},
		{"entry", "-settings", "testdata/faulty.ini"},
		{"check", "-entry", "../../../examples/platform/entry.ini"},
		{"job", "trace"},
		{"job", "trace", "5c0e7a21d94b36f8", "testdata/missing.log"},
		{"no-such-command"},
	} {
		all.WriteString(runCLI(args...))
	}
	compareGolden(t, "faults.golden", all.String())
}

func TestTrace(t *testing.T) {
	compareGolden(t, "trace.golden", runCLI("job", "trace", "5c0e7a21d94b36f8", "testdata/trace.log"))
}
