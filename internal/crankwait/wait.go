// Package crankwait waits for a state that other parts publish.
package crankwait

import (
	"context"

	crank "cranberrycrank"
)

// Until waits until look reports true. The channel that look returns is closed
// at the next change of the state. It fails with KindUnavailable when the
// context ends; op names the operation then.
func Until(ctx context.Context, op string, look func() (bool, <-chan struct{})) error {
	for {
		done, changed := look()
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
