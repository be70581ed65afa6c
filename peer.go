package crank

import "context"

// PeerStatus is the state that an entry instance reports about itself.
type PeerStatus struct {
	Instance      string `json:"instance"`
	Next          Offset `json:"next"` // first log entry that is not applied yet
	ConfigVersion int    `json:"config-version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

// Peer is another entry instance. Its Log methods are proxied: the instance
// calls the platform's log directly and never forwards to a third instance.
type Peer interface {
	Log
	// Status returns the instance's state.
	Status(ctx context.Context) (PeerStatus, error)
}

// PeerDialer returns the client of the entry instance at an address.
type PeerDialer interface {
	Peer(addr string) Peer
}

// StorePeerDialer returns a Store whose calls are proxied by the entry instance
// at an address. The key is the one that the instance announced. The instance
// calls the platform's store directly and never forwards to a third instance.
type StorePeerDialer interface {
	StorePeer(addr, key string) Store
}
