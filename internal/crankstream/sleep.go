package crankstream

import (
	"context"
	"time"
)

// Pause sleeps for d, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
