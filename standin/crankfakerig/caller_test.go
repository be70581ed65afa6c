package crankfakerig

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

func TestSubmissionIsRepeatedAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for lost, want := range map[float64]crankfakewatch.Answer{0: crankfakewatch.Accepted, 1: crankfakewatch.Unknown} {
			r := &Rig{Config: Config{Site: crankfakesite.Site{Callers: crankfakesite.Callers{LostAnswers: lost}}}}
			attempts := 0
			result := r.submit(t.Context(), rand.New(rand.NewPCG(1, 1)), func() crankfakewatch.Answer {
				attempts++
				return crankfakewatch.Accepted
			})
			if result != want || (attempts > 1) != (lost > 0) {
				t.Errorf("share of lost answers %v: %s after %d attempts; want %s", lost, result, attempts, want)
			}
		}
	})
}

func TestPatientCallerWaits(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }))
	defer server.Close()
	r := &Rig{client: server.Client()}
	r.Site.Bounds.AnswerTime = 10 * time.Millisecond
	addr := strings.TrimPrefix(server.URL, "http://")
	if a := r.send(t.Context(), http.MethodGet, addr, "/", "", nil); a.status != 0 {
		t.Errorf("status %d for a caller without patience; want none", a.status)
	}
	if a := r.sendWithin(t.Context(), 10*time.Second, http.MethodGet, addr, "/", "", nil); a.status != http.StatusOK {
		t.Errorf("status %d for a patient caller; want 200", a.status)
	}
}
