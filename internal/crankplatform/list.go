package crankplatform

import (
	"context"
	"encoding/json"
	"net/http"
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
	if len(data) == 0 && l.etag != "" {
		return l.instances, nil
	}
	var instances []crank.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return nil, crank.Wrap("list read", crank.KindUnavailable, err)
	}
	l.etag, l.instances = respHeader.Get("Etag"), instances
	return instances, nil
}
