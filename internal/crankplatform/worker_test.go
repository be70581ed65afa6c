package crankplatform

import (
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A report that does not show its incarnation was taken for that of a restarted worker,
// so that all parts that ran there counted as stopped.
func TestReportWithoutIncarnationProvesNothing(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"{}", "null", `{"status":"ok"}`, `{"epoch":"","revision":1,"parts":[]}`} {
		_, err := NewDialer().Worker(answer(t, body)).Renew(t.Context(), crank.Renewal{})
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnknown)
	}
}
