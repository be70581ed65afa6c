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

// runsPerSession is how often each session is run. Events at the same virtual
// time happen in any order, so one run may miss a fault.
const runsPerSession = 20

// TestRegressionSessions runs sessions under testdata that once led to a
// violation, as TestInvariantsUnderFaults printed them.
func TestRegressionSessions(t *testing.T) {
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
			for range runsPerSession {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations = runSession(t, steps) })
				if len(violations) > 0 {
					t.Fatal(strings.Join(violations, "\n"))
				}
			}
		})
	}
}

// readSession reads steps in the form that formatSteps writes. Lines that start
// with # are comments.
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
			s.duration, err = time.ParseDuration(value)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}
