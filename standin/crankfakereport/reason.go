package crankfakereport

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakewatch"
)

// logLine is a line of an instance's log, with the fields that tell what jobs wait for.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Term     int64     `json:"term"`
	Job      string    `json:"job"`
	Why      string    `json:"why"`
	Workers  int       `json:"workers"`
	Longest  string    `json:"longest"`
	Worker   string    `json:"worker"`
	Until    string    `json:"until"`
	Task     string    `json:"task"`
}

// Messages that tell what jobs wait for.
const (
	messageStands  = "sched: job stands"
	messageHeld    = "sched: workers not accounted for yet"
	messageAll     = "sched: all workers accounted for"
	messageTerm    = "sched: term taken over"
	messageNotRead = "sched: history of the worker list not read in time"
	messageUnread  = "sched: planning while the job topic is read"
	messageRelease = "sched: run released"
	messageLapsed  = "sched: lease expired without an answer"
)

var messages = []string{messageStands, messageHeld, messageAll, messageTerm, messageNotRead, messageUnread, messageRelease, messageLapsed}

// readReasons reads the lines of all instances that tell what jobs wait for, by time.
func readReasons(dir string) ([]logLine, error) {
	const op = "log read"
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, crank.Wrap(op, crank.KindInvalid, err)
	}
	var lines []logLine
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, crank.Wrap(op, crank.KindUnavailable, err)
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			text := scanner.Text()
			if !strings.HasPrefix(text, "{") || !slices.ContainsFunc(messages, func(m string) bool { return strings.Contains(text, m) }) {
				continue
			}
			var l logLine
			if json.Unmarshal([]byte(text), &l) == nil {
				lines = append(lines, l)
			}
		}
		f.Close()
	}
	slices.SortFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// reasons tells in a few lines what a job waited for while it stood still.
func reasons(lines []logLine, s crankfakewatch.Still) []string {
	var out []string
	held, most, first, last := 0, 0, time.Time{}, time.Time{}
	for _, l := range lines {
		if l.Time.Before(s.From.Add(-time.Second)) || l.Time.After(s.To.Add(time.Second)) {
			continue
		}
		at := clock(l.Time) + " " + l.Instance
		switch l.Message {
		case messageTerm:
			out = append(out, fmt.Sprintf("%s took over term %d", at, l.Term))
		case messageAll:
			out = append(out, fmt.Sprintf("%s has all workers accounted for", at))
		case messageNotRead, messageUnread:
			out = append(out, fmt.Sprintf("%s %s", at, l.Message))
		case messageHeld:
			if held++; held == 1 {
				first = l.Time
				out = append(out, fmt.Sprintf("%s waits for %d workers, %s at most", at, l.Workers, l.Longest))
			}
			most, last = max(most, l.Workers), l.Time
		case messageStands:
			if l.Job == s.Job {
				out = append(out, fmt.Sprintf("%s says of %s: %s", at, l.Task, strings.Join(strings.Fields(l.Why+" "+l.Worker+" "+l.Until), " ")))
			}
		case messageRelease:
			if strings.HasPrefix(l.Task, s.Job+".") {
				out = append(out, fmt.Sprintf("%s released %s: %s", at, l.Task, l.Why))
			}
		}
	}
	if held > 0 {
		out = append(out, fmt.Sprintf("workers not accounted for from %s to %s, up to %d", clock(first), clock(last), most))
	}
	return out
}
