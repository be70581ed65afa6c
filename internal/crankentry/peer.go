package crankentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/crankpeer"
	"cranberrycrank/internal/crankrelay"
)

// announceRetry is the delay after a failed announcement.
const announceRetry = 1 * time.Second

// PeerStore returns the store for calls from other instances.
func (e *Entry) PeerStore() crank.Store { return e.relay.Direct() }

// PeerLeader serves other instances' calls while this one holds the term.
func (e *Entry) PeerLeader() crank.Leader { return localLeader{e} }

// PeerHandler returns the HTTP handler that serves PeerStore and PeerLeader.
func (e *Entry) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", crankpeer.NewStoreHandler(e.PeerStore(), e.peerKey))
	mux.Handle(crankpeer.LeaderPathPrefix, crankpeer.NewLeaderHandler(e.PeerLeader(), e.peerKey))
	return mux
}

// announce publishes periodically how to reach this instance.
func (e *Entry) announce(ctx context.Context) error {
	record, err := crankjobs.AnnouncementRecord(crankjobs.Announcement{ID: e.Instance, Zone: e.Zone, Addr: e.PeerAddr, Key: e.peerKey,
		Descriptors: e.Descriptors, MemoryMiB: e.MemoryMiB, LinkMbps: e.LinkMbps, ProcessorShare: e.ProcessorShare})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if _, err := e.writer.Append(ctx, record); err != nil {
			e.Logger.Warn("peer: announcement failed", "error", err)
			crankfeed.Sleep(ctx, announceRetry)
			continue
		}
		e.Logger.Info("peer: announced", "addr", e.PeerAddr)
		crankfeed.Sleep(ctx, crankjobs.AnnouncePeriod)
	}
	return nil
}

// storePeers returns the other instances in random order, those of the same
// availability zone first.
func (e *Entry) storePeers() []crankrelay.StorePeer {
	live, _ := e.jobs.View().State.Instances(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b crankjobs.Announcement) int { return e.distance(a) - e.distance(b) })
	peers := make([]crankrelay.StorePeer, 0, len(live))
	for _, a := range live {
		if a.ID != e.Instance {
			peers = append(peers, crankrelay.StorePeer{ID: a.ID, Store: e.Peers.StorePeer(a.Addr, a.Key)})
		}
	}
	return peers
}

func (e *Entry) distance(a crankjobs.Announcement) int {
	if a.Zone == e.Zone {
		return 0
	}
	return 1
}
