package crank

import "context"

// PeerStatus is what an entry instance reports about itself.
type PeerStatus struct {
	Instance      string `json:"instance"`
	Next          Offset `json:"next"` // first log entry that is not applied yet
	ConfigVersion int    `json:"config-version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

// Peer is another entry instance. It forwards calls of the Log methods directly
// to the platform's log, never to a third instance.
type Peer interface {
	Log
	// Status asks the instance for its status.
	Status(ctx context.Context) (PeerStatus, error)
}

// PeerDialer returns the client of the entry instance at an address.
type PeerDialer interface {
	Peer(addr string) Peer
}

// StorePeerDialer returns the store as reached through the entry instance at an
// address, with the key that it announced. That instance forwards calls directly
// to the platform's store, never to a third instance.
type StorePeerDialer interface {
	StorePeer(addr, key string) Store
}
