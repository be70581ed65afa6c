package cranksched

import (
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A start order whose first try got no answer counted as without effect when the repeat
// was refused for its fencing token, so that the task could be started elsewhere.
func TestFencedRepeatOfAStartFreesNoRun(t *testing.T) {
	is := is.New(t)
	s := fullFleet(0.01)
	s.Leadership = invalidTerm{}
	for _, p := range s.workers["w0000"].placements {
		p.state = stateOrdered
		s.handleStartReply(p, crank.OrderReply{Refusal: crank.RefusalFence}, true, nil)
		is.Equal(p.worker.placements[p.id], p)
		is.Equal(p.task.placement, p)
	}
}
