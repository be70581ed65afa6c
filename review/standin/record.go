package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one event a line.
type recorder struct {
	mu       sync.Mutex
	begun    time.Time
	file     *os.File
	out      *bufio.Writer
	failures int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// event adds a line with the seconds since the start.
func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (r *recorder) broken(format string, args ...any) {
	r.mu.Lock()
	r.failures++
	r.mu.Unlock()
	line := "BROKEN " + fmt.Sprintf(format, args...)
	r.event("%s", line)
}

func (r *recorder) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
