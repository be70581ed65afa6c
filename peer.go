package crank

import "context"

// PeerStatus is what an entry instance says of itself.
type PeerStatus struct {
	Instance      string `json:"instance"`
	Next          Offset `json:"next"` // first entry that is not applied
	ConfigVersion int    `json:"config-version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

// Peer is another entry instance. Its Log methods go to the platform's log as
// that instance reaches it, and never to a third instance.
type Peer interface {
	Log
	// Status asks how far the instance is.
	Status(ctx context.Context) (PeerStatus, error)
}

// PeerDialer returns the interface to an entry instance by its address.
type PeerDialer interface {
	Peer(addr string) Peer
}

// StorePeerDialer returns the store as another entry instance reaches it, by
// the instance's address and the key that it gave out. That instance never
// passes a call on to a third one.
type StorePeerDialer interface {
	StorePeer(addr, key string) Store
}
