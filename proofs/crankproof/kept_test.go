package crankproof

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// keptRuns is how often each kept session is run: what happens at the same
// virtual moment happens in any order.
const keptRuns = 20

// TestKeptSessions runs sessions that once showed a fault, as
// TestPromisesUnderFaults printed them.
func TestKeptSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			steps, err := readSession(file)
			if err != nil {
				t.Fatal(err)
			}
			for range keptRuns {
				var faults []string
				synctest.Test(t, func(t *testing.T) { faults = runSession(t, steps) })
				if len(faults) > 0 {
					t.Fatal(strings.Join(faults, "\n"))
				}
			}
		})
	}
}

// readSession parses the lines that describe printed. Lines that start with #
// are comments.
func readSession(path string) ([]step, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var steps []step
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		s, err := parseStep(strings.Fields(line))
		if err != nil {
			return nil, fmt.Errorf("%s: %q: %w", path, line, err)
		}
		steps = append(steps, s)
	}
	return steps, nil
}

func parseStep(fields []string) (step, error) {
	var s step
	var err error
	if s.after, err = time.ParseDuration(strings.TrimPrefix(fields[0], "+")); err != nil {
		return s, err
	}
	if fields[1] != "request" {
		s.fault = faultKind(fields[1])
	}
	for _, field := range fields[2:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "profile":
			_, err = fmt.Sscan(value, &s.profile)
		case "at", "target":
			_, err = fmt.Sscan(value, &s.target)
		case "twice":
			s.twice = value == "true"
		case "run":
			s.run, err = time.ParseDuration(value)
		case "lasts":
			s.lasts, err = time.ParseDuration(value)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}
