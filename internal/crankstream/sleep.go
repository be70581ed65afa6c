package crankstream

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
