// Package crankwait waits until a shared state satisfies a condition.
package crankwait

import (
	"context"

	crank "cranberrycrank"
)

// Until calls check until it reports true. The channel that check returns is closed
// at the next change of the state; Until then calls check again. It fails with
// KindUnavailable for the operation op when the context ends.
func Until(ctx context.Context, op string, check func() (bool, <-chan struct{})) error {
	for {
		done, changed := check()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return crank.Wrap(op, crank.KindUnavailable, ctx.Err())
		}
	}
}
