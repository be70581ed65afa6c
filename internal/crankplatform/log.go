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
		Offset *crank.Offset `json:"offset"`
	}
	body, _, err := l.client.Do(ctx, "log append", http.MethodPost, "/streams/"+string(stream), data, nil, maxAppendResponseBytes)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return 0, crank.Wrap("log append", crank.KindUnknown, err)
	}
	if resp.Offset == nil {
		return 0, crank.Fail("log append", crank.KindUnknown, "the answer does not show the offset")
	}
	return *resp.Offset, nil
}

// maxAppendResponseBytes limits the response to an append, an offset.
const maxAppendResponseBytes = 4 << 10

// Read implements crank.Log. Errors of KindUnknown become KindUnavailable, since a
// failed read had no effect.
func (l *Log) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	var resp struct {
		Entries []crank.LogEntry `json:"entries"`
		First   *crank.Offset    `json:"first"`
		End     *crank.Offset    `json:"end"`
	}
	path := fmt.Sprintf("/streams/%s?from=%d&limit=%d&wait=%s", stream, from, limit, wait)
	err := l.client.Call(ctx, "log read", http.MethodGet, path, nil, &resp)
	switch {
	case err != nil && crank.KindOf(err) == crank.KindUnknown:
		return crank.LogBatch{}, crank.Wrap("log read", crank.KindUnavailable, fmt.Errorf("read: %w", opaqueError{err}))
	case err != nil:
		return crank.LogBatch{}, err
	case resp.First == nil || resp.End == nil || *resp.First < 0 || *resp.First > *resp.End:
		return crank.LogBatch{}, crank.Fail("log read", crank.KindUnavailable, "the answer does not show the bounds of the stream")
	}
	return crank.LogBatch{Entries: resp.Entries, First: *resp.First, End: *resp.End}, nil
}

// opaqueError hides the kind of an error, so that crank.Wrap sets a new one.
type opaqueError struct{ error }
