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

// transcript sends HTTP requests to instances and records them with their
// responses.
type transcript struct {
	t        *testing.T
	handlers map[string]http.Handler // by instance ID
	text     strings.Builder
	lastJob  string
}

// goldenConfig is testConfig with workspace keys and anonymous quotes.
func goldenConfig() crank.Config {
	c := testConfig()
	c.Profiles[0].Anonymous = true
	for i := range c.Workspaces {
		sum := sha256.Sum256([]byte(c.Workspaces[i].Name + " key"))
		c.Workspaces[i].Key = hex.EncodeToString(sum[:])
	}
	return c
}

// workerDelay delays calls to workers, so that the response to a request never
// shows what the calls that it triggers change.
const workerDelay = time.Millisecond

func newTranscript(t *testing.T) (*transcript, *cluster) {
	c := newCluster(t, goldenConfig())
	for _, zone := range []string{"gulberg", "raiwind", "kot"} {
		c.addWorkers(zone, 2)
	}
	tr := &transcript{t: t, handlers: map[string]http.Handler{}}
	for _, id := range []string{"a", "b"} {
		e := c.startEntry(id)
		e.workerLink.setDelay(workerDelay)
		tr.handlers[id] = crankhttp.New(crankhttp.Config{Node: e.node, OperatorKey: "operator", Logger: c.logger, Scope: tally.NoopScope, Metrics: http.NotFoundHandler()})
	}
	time.Sleep(settleTime)
	return tr, c
}

// send sends one request. JOB in the path stands for the ID of the last job.
func (tr *transcript) send(instance, method, path, body string, header ...string) {
	tr.t.Helper()
	fmt.Fprintf(&tr.text, "> %s %s at %s", method, path, instance)
	r := httptest.NewRequest(method, strings.ReplaceAll(path, "JOB", tr.lastJob), strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
		fmt.Fprintf(&tr.text, "\n> %s: %s", header[i], header[i+1])
	}
	if strings.HasPrefix(body, "{") {
		r.Header.Set("Content-Type", "application/json")
	}
	fmt.Fprintf(&tr.text, "\n%.300s\n", body)
	w := httptest.NewRecorder()
	tr.handlers[instance].ServeHTTP(w, r)
	time.Sleep(100 * time.Millisecond) // until both instances have applied the change
	var job crankapi.Job
	if method == http.MethodPost && json.Unmarshal(w.Body.Bytes(), &job) == nil && job.ID != "" {
		tr.lastJob = job.ID
	}
	fmt.Fprintf(&tr.text, "< %d\n", w.Code)
	for _, name := range []string{"Location", "Retry-After", crankapi.HeaderDigest} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&tr.text, "< %s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&tr.text, "%.400s\n\n", strings.TrimSpace(w.Body.String()))
}

var (
	jobIDPattern         = regexp.MustCompile(`\b[0-9a-f]{24}\b`)
	ownerPattern         = regexp.MustCompile(`"owner":"[ab]\.`)
	startingStatePattern = regexp.MustCompile(`"state":"(waiting|placed)"`)
	timePattern          = regexp.MustCompile(`20[0-9]{2}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z`)
	basePattern          = regexp.MustCompile(`"base":[0-9]+`)
)

// normalize numbers job IDs in order of appearance and replaces times, log
// positions, and what depends on which instance was faster.
func normalize(text string) string {
	jobs := map[string]string{}
	text = jobIDPattern.ReplaceAllStringFunc(text, func(id string) string {
		if jobs[id] == "" {
			jobs[id] = fmt.Sprintf("ID-%d", len(jobs)+1)
		}
		return jobs[id]
	})
	text = timePattern.ReplaceAllString(text, "TIME")
	text = ownerPattern.ReplaceAllString(text, `"owner":"INSTANCE.`)
	text = startingStatePattern.ReplaceAllString(text, `"state":"waiting or placed"`)
	return basePattern.ReplaceAllString(text, `"base":BASE`)
}

// TestHTTPTranscript compares requests of callers and operators and their
// responses with the golden file.
func TestHTTPTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, c := newTranscript(t)
		defer c.stopAll()
		kasur := []string{"Authorization", "Bearer kasur key"}
		valid := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
		bill := append([]string{crankapi.HeaderIdempotencyKey, "bill-1", crankapi.HeaderValidUntil, valid}, kasur...)
		operator := []string{"Authorization", "Bearer operator"}

		tr.send("a", "GET", "/health/ready", "")
		tr.send("a", "POST", "/v1/jobs?profile=quote", "bale 7")
		tr.send("a", "POST", "/v1/jobs?profile=quote", "bale 7", "Authorization", "Bearer wrong")
		tr.send("a", "POST", "/v1/jobs?profile=none", "bale 7", kasur...)
		tr.send("a", "POST", "/v1/jobs?profile=quote&wait=soon", "bale 7", kasur...)
		tr.send("a", "POST", "/v1/jobs?profile=quote&wait=20s", "bale 7", kasur...)
		tr.send("b", "GET", "/v1/jobs/JOB", "", kasur...)
		tr.send("b", "GET", "/v1/jobs/JOB/answer", "", kasur...)
		tr.send("b", "GET", "/v1/jobs/JOB", "", "Authorization", "Bearer sialkot key")
		tr.send("a", "POST", "/v1/jobs?profile=quote&wait=20s", "bale 8", crankapi.HeaderWorkspace, "kasur")
		tr.send("a", "POST", "/v1/jobs?profile=bill", "buyer 3", crankapi.HeaderWorkspace, "kasur")
		tr.send("a", "POST", "/v1/jobs?profile=bill", "buyer 3", kasur...)
		tr.send("a", "POST", "/v1/jobs?profile=bill&wait=20s", "buyer 3", bill...)
		tr.send("b", "POST", "/v1/jobs?profile=bill&wait=20s", "buyer 3", bill...)
		tr.send("b", "POST", "/v1/jobs?profile=bill", "buyer 4", bill...)
		tr.send("b", "POST", "/v1/jobs?profile=batch", `{"run-ms":600000}`, kasur...)
		time.Sleep(time.Second)
		tr.send("a", "GET", "/v1/ops/jobs/JOB", "", operator...)
		tr.send("a", "DELETE", "/v1/jobs/JOB", "", kasur...)
		tr.send("a", "GET", "/v1/jobs/JOB?wait=5s", "", kasur...)
		tr.send("a", "GET", "/v1/jobs/000000000000000000000000", "", kasur...)
		tr.send("a", "POST", "/v1/jobs?profile=quote", strings.Repeat("x", crank.MaxPayloadBytes+1), kasur...)
		tr.send("a", "GET", "/v1/ops/zones", "")
		tr.send("a", "POST", "/v1/ops/zones/kot", `{"out":true,"force":true}`, operator...)
		tr.send("b", "POST", "/v1/ops/zones/kot", `{"out":false,"base":1}`, operator...)
		tr.send("b", "POST", "/v1/ops/zones/lekki", `{"out":true,"force":true}`, operator...)
		tr.send("a", "GET", "/v1/ops/zones", "", operator...)
		tr.send("a", "POST", "/v1/ops/config", `{"base":7,"files":[{"name":"a.ini","text":"[zone kot]\nregion = lahore\n"}]}`, operator...)
		tr.send("a", "POST", "/v1/ops/config", `{"base":1,"files":[{"name":"a.ini","text":"[zone kot]\nregoin = lahore\n"}]}`, operator...)
		tr.send("a", "GET", "/v1/ops/burn", "", operator...)
		compareGolden(t, "session.golden", normalize(tr.text.String()))
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
