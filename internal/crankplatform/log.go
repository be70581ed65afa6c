// Package crankplatform implements the platform interfaces of the root package
// (log, instance list and workers) over HTTP for the serve command. Only the
// stand-ins in crankfakehttp share that protocol: another platform only needs
// another implementation.
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

// Log is a client of the platform's log.
type Log struct {
	client *crankwire.Client
}

// NewLog returns a client for the log service at an address.
func NewLog(addr string) *Log {
	return &Log{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Append implements crank.Log.
func (l *Log) Append(ctx context.Context, stream crank.Stream, data []byte) (crank.Offset, error) {
	var resp struct {
		Offset crank.Offset `json:"offset"`
	}
	body, _, err := l.client.Do(ctx, "log append", http.MethodPost, "/streams/"+string(stream), data, nil, maxAppendResponseBytes)
	if err != nil {
		return 0, err
	}
	err = crank.Wrap("log append", crank.KindUnknown, json.Unmarshal(body, &resp))
	return resp.Offset, err
}

// maxAppendResponseBytes limits the response to an append, an offset.
const maxAppendResponseBytes = 4 << 10

// Read implements crank.Log. Errors of KindUnknown become KindUnavailable, since a
// failed read had no effect.
func (l *Log) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	var batch crank.LogBatch
	path := fmt.Sprintf("/streams/%s?from=%d&limit=%d&wait=%s", stream, from, limit, wait)
	err := l.client.Call(ctx, "log read", http.MethodGet, path, nil, &batch)
	if err != nil && crank.KindOf(err) == crank.KindUnknown {
		err = crank.Wrap("log read", crank.KindUnavailable, fmt.Errorf("read: %w", opaqueError{err}))
	}
	return batch, err
}

// opaqueError hides the kind of an error, so that crank.Wrap sets a new one.
type opaqueError struct{ error }
