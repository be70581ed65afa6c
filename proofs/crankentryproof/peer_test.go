package crankentryproof

import (
	"context"
	"time"

	crank "cranberrycrank"
)

// peerDialer lets an instance reach the store through another one, whose address
// is its name.
type peerDialer struct {
	c      *cluster
	caller string
}

// StorePeer implements crank.StorePeerDialer.
func (p peerDialer) StorePeer(addr, _ string) crank.Store { return peerStore{p, addr} }

// peerStore is the store as reached through the instance called name.
type peerStore struct {
	peerDialer
	name string
}

// Leader implements crank.LeaderDialer.
func (p peerDialer) Leader(addr, _ string) crank.Leader { return peerLeader{p, addr} }

// peerLeader is the leader service of the instance called name.
type peerLeader struct {
	peerDialer
	name string
}

// Submit implements crank.Leader.
func (p peerLeader) Submit(ctx context.Context, job crank.StepJob) error {
	inst, err := p.connect(ctx, p.name)
	if err != nil {
		return err
	}
	return inst.PeerLeader().Submit(ctx, job)
}

// AwaitEnd implements crank.Leader.
func (p peerLeader) AwaitEnd(ctx context.Context, job string, wait time.Duration) (crank.Phase, error) {
	inst, err := p.connect(ctx, p.name)
	if err != nil {
		return "", err
	}
	return inst.PeerLeader().AwaitEnd(ctx, job, wait)
}

// connect returns the other instance, or blocks until the context ends if that
// instance can't be reached.
func (p peerDialer) connect(ctx context.Context, name string) (*instance, error) {
	p.c.mu.Lock()
	inst := p.c.running[name]
	unreachable := inst == nil || p.c.dead[p.caller] || p.c.dead[inst.caller] || p.c.peersCut[p.caller] || p.c.peersCut[inst.caller]
	p.c.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, crank.Wrap("peer call", crank.KindUnknown, ctx.Err())
	}
	time.Sleep(time.Millisecond)
	return inst, nil
}

// Append implements crank.Store.
func (p peerStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	inst, err := p.connect(ctx, p.name)
	if err != nil {
		return 0, err
	}
	return inst.PeerStore().Append(ctx, a)
}

// Read implements crank.Store.
func (p peerStore) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	inst, err := p.connect(ctx, p.name)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	return inst.PeerStore().Read(ctx, topic, from, wait)
}

// Newest implements crank.Store.
func (p peerStore) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	inst, err := p.connect(ctx, p.name)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	return inst.PeerStore().Newest(ctx, topic)
}
