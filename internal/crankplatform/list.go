package crankplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// InstanceList reads the platform's instance list. It sends the entity tag of the
// last list, if the service gives one, so that an unchanged list is not sent
// again.
type InstanceList struct {
	client    *crankwire.Client
	mu        sync.Mutex
	etag      string
	instances []crank.Instance
}

// maxListBytes limits the response with the instance list.
const maxListBytes = 16 << 20

// NewInstanceList returns a client for the list service at an address.
func NewInstanceList(addr string) *InstanceList {
	return &InstanceList{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Instances returns the current list. Callers must not change the result, which
// is kept for the next call.
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
