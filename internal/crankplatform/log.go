// Package crankplatform speaks the HTTP protocol of the platform's services:
// the log, the instance list and the workers.
//
// It is the only package that knows that protocol. Another platform needs
// another implementation of the interfaces of the root package, and nothing
// else changes.
package crankplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// Log is the client of the platform's log.
type Log struct {
	client *crankwire.Client
}

// NewLog returns a client for the log service at an address.
func NewLog(addr string) *Log {
	return &Log{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Append implements crank.Log.
func (l *Log) Append(ctx context.Context, stream crank.Stream, data []byte) (crank.Offset, error) {
	var answer struct {
		Offset crank.Offset `json:"offset"`
	}
	body, _, err := l.client.Do(ctx, "log append", http.MethodPost, "/streams/"+string(stream), data, nil, maxAppendAnswer)
	if err != nil {
		return 0, err
	}
	err = crank.Wrap("log append", crank.KindUnknown, json.Unmarshal(body, &answer))
	return answer.Offset, err
}

const maxAppendAnswer = 4 << 10

// Read implements crank.Log.
func (l *Log) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.Batch, error) {
	var batch crank.Batch
	path := fmt.Sprintf("/streams/%s?from=%d&limit=%d&wait=%s", stream, from, limit, wait)
	err := l.client.Call(ctx, "log read", http.MethodGet, path, nil, &batch)
	if err != nil && crank.KindOf(err) == crank.KindUnknown {
		err = crank.Wrap("log read", crank.KindUnavailable, fmt.Errorf("read: %w", unkinded{err}))
	}
	return batch, err
}

// unkinded hides the kind of an error: a read that failed had no effect.
type unkinded struct{ error }
