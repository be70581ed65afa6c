package crankplatform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// InstanceList is a client of the platform's instance list. If the service gives
// entity tags, an unchanged list is not sent again.
type InstanceList struct {
	client    *crankwire.Client
	mu        sync.Mutex
	etag      string
	instances []crank.Instance
}

// maxListBytes limits the instance list.
const maxListBytes = 16 << 20

// NewInstanceList returns a client for the list service at an address.
func NewInstanceList(addr string) *InstanceList {
	return &InstanceList{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Instances implements crank.InstanceList. Callers must not change the result.
func (l *InstanceList) Instances(ctx context.Context) ([]crank.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	header := http.Header{}
	if l.etag != "" {
		header.Set("If-None-Match", l.etag)
	}
	data, respHeader, err := l.client.Do(ctx, "list read", http.MethodGet, "/instances", nil, header, maxListBytes)
	if err != nil {
		return nil, err
	}
	if data == nil {
		return l.instances, nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, crank.Wrap("list read", crank.KindUnavailable, err)
	}
	instances := make([]crank.Instance, 0, len(entries))
	for _, entry := range entries {
		if i, ok := decodeInstance(entry); ok {
			instances = append(instances, i)
		}
	}
	l.etag, l.instances = respHeader.Get("Etag"), instances
	return instances, nil
}

// decodeInstance decodes an entry of the list. It returns false for one that names no
// instance.
func decodeInstance(data []byte) (crank.Instance, bool) {
	var i crank.Instance
	if err := json.Unmarshal(data, &i); err != nil || i.ID == "" {
		return i, false
	}
	host, port, err := net.SplitHostPort(i.Addr)
	if err != nil {
		return i, false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return i, err == nil && n > 0 && host != ""
}
