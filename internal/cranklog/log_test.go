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

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		for range 100_000 {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(start), time.Duration(0)) // no Write blocked
		is.True(w.Dropped() > 0)
		close(out.release)
		time.Sleep(2 * reportPeriod)
		w.Close()
		out.mu.Lock()
		defer out.mu.Unlock()
		is.True(strings.Contains(out.text.String(), `"msg":"log: lines left out"`))
		is.True(strings.Count(out.text.String(), "line\n") <= maxQueuedLines+maxBurstLines)
	})
}
