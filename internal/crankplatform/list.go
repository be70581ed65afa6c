package crankplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// List is the client of the platform's instance list. Where the service gives
// entity tags, a list that has not changed is not sent again.
type List struct {
	client    *crankwire.Client
	mu        sync.Mutex
	tag       string
	instances []crank.Instance
}

// maxListBytes bounds the instance list.
const maxListBytes = 16 << 20

// NewList returns a client for the list service at an address.
func NewList(addr string) *List {
	return &List{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Instances implements crank.List. Callers must not change the result.
func (l *List) Instances(ctx context.Context) ([]crank.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	header := http.Header{}
	if l.tag != "" {
		header.Set("If-None-Match", l.tag)
	}
	data, answer, err := l.client.Do(ctx, "list read", http.MethodGet, "/instances", nil, header, maxListBytes)
	if err != nil {
		return nil, err
	}
	if len(data) == 0 && l.tag != "" {
		return l.instances, nil
	}
	var instances []crank.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return nil, crank.Wrap("list read", crank.KindUnavailable, err)
	}
	l.tag, l.instances = answer.Get("Etag"), instances
	return instances, nil
}
