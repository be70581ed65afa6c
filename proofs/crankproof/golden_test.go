package crankproof

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankhttp"
	"cranberrycrank/pkg/crankapi"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session records what is sent to an instance and what it answers.
type session struct {
	t       *testing.T
	handler map[string]http.Handler // by instance
	text    strings.Builder
	lastJob string
}

// goldenConfig is the test configuration with keys and anonymous quotes.
func goldenConfig() crank.Config {
	c := testConfig()
	c.Profiles[0].Anonymous = true
	for i := range c.Workspaces {
		sum := sha256.Sum256([]byte(c.Workspaces[i].Name + " key"))
		c.Workspaces[i].Key = hex.EncodeToString(sum[:])
	}
	return c
}

// workerDelay keeps what a call to a worker changes apart from the answer to
// the request that caused it.
const workerDelay = time.Millisecond

func newSession(t *testing.T) (*session, *cluster) {
	c := newCluster(t, goldenConfig())
	for _, zone := range []string{"gulberg", "raiwind", "kot"} {
		c.addWorkers(zone, 2)
	}
	s := &session{t: t, handler: map[string]http.Handler{}}
	for _, id := range []string{"a", "b"} {
		e := c.startEntry(id)
		e.toWork.setDelay(workerDelay)
		s.handler[id] = crankhttp.New(crankhttp.Config{Node: e.node, OperatorKey: "operator", Logger: c.logger, Scope: tally.NoopScope, Metrics: http.NotFoundHandler()})
	}
	time.Sleep(settleTime)
	return s, c
}

// do sends one request; JOB in the path stands for the last job.
func (s *session) do(instance, method, path, body string, header ...string) {
	s.t.Helper()
	fmt.Fprintf(&s.text, "> %s %s at %s", method, path, instance)
	r := httptest.NewRequest(method, strings.ReplaceAll(path, "JOB", s.lastJob), strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		fmt.Fprintf(&s.text, "\n> %s: %s", header[i], header[i+1])
	}
	if strings.HasPrefix(body, "{") {
		r.Header.Set("Content-Type", "application/json")
	}
	fmt.Fprintf(&s.text, "\n%.300s\n", body)
	w := httptest.NewRecorder()
	s.handler[instance].ServeHTTP(w, r)
	time.Sleep(100 * time.Millisecond) // until both instances have applied it
	var job crankapi.Job
	if method == http.MethodPost && json.Unmarshal(w.Body.Bytes(), &job) == nil && job.ID != "" {
		s.lastJob = job.ID
	}
	fmt.Fprintf(&s.text, "< %d\n", w.Code)
	for _, name := range []string{"Location", "Retry-After", crankapi.HeaderDigest} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&s.text, "< %s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&s.text, "%.400s\n\n", strings.TrimSpace(w.Body.String()))
}

var (
	jobForm  = regexp.MustCompile(`\b[0-9a-f]{24}\b`)
	lifeForm = regexp.MustCompile(`"owner":"[ab]\.`)
	soonForm = regexp.MustCompile(`"state":"(waiting|placed)"`)
	timeForm = regexp.MustCompile(`20[0-9]{2}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z`)
	baseForm = regexp.MustCompile(`"base":[0-9]+`)
)

// normalize replaces identities and times by their order of appearance, and
// what depends on which instance was quicker.
func normalize(text string) string {
	jobs := map[string]string{}
	text = jobForm.ReplaceAllStringFunc(text, func(id string) string {
		if jobs[id] == "" {
			jobs[id] = fmt.Sprintf("ID-%d", len(jobs)+1)
		}
		return jobs[id]
	})
	text = timeForm.ReplaceAllString(text, "TIME")
	text = lifeForm.ReplaceAllString(text, `"owner":"INSTANCE.`)
	text = soonForm.ReplaceAllString(text, `"state":"waiting or placed"`)
	return baseForm.ReplaceAllString(text, `"base":BASE`)
}

// TestSessionOfCallersAndOperators compares a whole session with its golden
// file.
func TestSessionOfCallersAndOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSession(t)
		defer c.stopAll()
		kasur := []string{"Authorization", "Bearer kasur key"}
		valid := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
		bill := append([]string{crankapi.HeaderKey, "bill-1", crankapi.HeaderValidUntil, valid}, kasur...)
		operator := []string{"Authorization", "Bearer operator"}

		s.do("a", "GET", "/health/ready", "")
		s.do("a", "POST", "/v1/jobs?profile=quote", "bale 7")
		s.do("a", "POST", "/v1/jobs?profile=quote", "bale 7", "Authorization", "Bearer wrong")
		s.do("a", "POST", "/v1/jobs?profile=none", "bale 7", kasur...)
		s.do("a", "POST", "/v1/jobs?profile=quote&wait=soon", "bale 7", kasur...)
		s.do("a", "POST", "/v1/jobs?profile=quote&wait=20s", "bale 7", kasur...)
		s.do("b", "GET", "/v1/jobs/JOB", "", kasur...)
		s.do("b", "GET", "/v1/jobs/JOB/answer", "", kasur...)
		s.do("b", "GET", "/v1/jobs/JOB", "", "Authorization", "Bearer sialkot key")
		s.do("a", "POST", "/v1/jobs?profile=quote&wait=20s", "bale 8", crankapi.HeaderWorkspace, "kasur")
		s.do("a", "POST", "/v1/jobs?profile=bill", "buyer 3", crankapi.HeaderWorkspace, "kasur")
		s.do("a", "POST", "/v1/jobs?profile=bill", "buyer 3", kasur...)
		s.do("a", "POST", "/v1/jobs?profile=bill&wait=20s", "buyer 3", bill...)
		s.do("b", "POST", "/v1/jobs?profile=bill&wait=20s", "buyer 3", bill...)
		s.do("b", "POST", "/v1/jobs?profile=bill", "buyer 4", bill...)
		s.do("b", "POST", "/v1/jobs?profile=batch", `{"run-ms":600000}`, kasur...)
		time.Sleep(time.Second)
		s.do("a", "GET", "/v1/ops/jobs/JOB", "", operator...)
		s.do("a", "DELETE", "/v1/jobs/JOB", "", kasur...)
		s.do("a", "GET", "/v1/jobs/JOB?wait=5s", "", kasur...)
		s.do("a", "GET", "/v1/jobs/000000000000000000000000", "", kasur...)
		s.do("a", "POST", "/v1/jobs?profile=quote", strings.Repeat("x", crank.MaxPayloadBytes+1), kasur...)
		s.do("a", "GET", "/v1/ops/zones", "")
		s.do("a", "POST", "/v1/ops/zones/kot", `{"out":true,"force":true}`, operator...)
		s.do("b", "POST", "/v1/ops/zones/kot", `{"out":false,"base":1}`, operator...)
		s.do("b", "POST", "/v1/ops/zones/lekki", `{"out":true,"force":true}`, operator...)
		s.do("a", "GET", "/v1/ops/zones", "", operator...)
		s.do("a", "POST", "/v1/ops/config", `{"base":7,"files":[{"name":"a.ini","text":"[zone kot]\nregion = lahore\n"}]}`, operator...)
		s.do("a", "POST", "/v1/ops/config", `{"base":1,"files":[{"name":"a.ini","text":"[zone kot]\nregoin = lahore\n"}]}`, operator...)
		s.do("a", "GET", "/v1/ops/burn", "", operator...)
		compareGolden(t, "session.golden", normalize(s.text.String()))
	})
}

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
