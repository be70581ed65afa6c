package cranklog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestFloodNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalled{release: make(chan struct{})}
		w := NewWriter(out)
		begun := time.Now()
		for range 100_000 {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(begun), time.Duration(0)) // nothing waited
		is.True(w.Dropped() > 0)
		close(out.release)
		time.Sleep(2 * reportPeriod)
		w.Close()
		out.mu.Lock()
		defer out.mu.Unlock()
		is.True(strings.Contains(out.text.String(), `"msg":"log: lines left out"`))
		is.True(strings.Count(out.text.String(), "line\n") <= queueLines+burstLines)
	})
}
