package crankplatform

import (
	"context"
	"net/http"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// List is the client of the platform's instance list.
type List struct {
	client *crankwire.Client
}

// NewList returns a client for the list service at an address.
func NewList(addr string) *List {
	return &List{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
}

// Instances implements crank.List.
func (l *List) Instances(ctx context.Context) ([]crank.Instance, error) {
	var instances []crank.Instance
	err := l.client.Call(ctx, "list read", http.MethodGet, "/instances", nil, &instances)
	return instances, err
}
