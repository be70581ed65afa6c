package crankfakeinstance

import (
	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
)

// PeerAddr returns the address for other instances instead of that of the process.
func (i *Instance) PeerAddr(known string) (addr string, ok bool) {
	if i.peers == nil || known != i.peer {
		return "", false
	}
	return i.peers.Addr(), true
}

// fronts returns the addresses in front of the process.
func (i *Instance) fronts() []*crankfakenet.Front {
	if i.peers == nil {
		return []*crankfakenet.Front{i.callers}
	}
	return []*crankfakenet.Front{i.callers, i.peers}
}

// noteFront reports an address in front of the process that was taken meanwhile.
func (i *Instance) noteFront(change func() error) {
	if err := change(); err != nil {
		i.Ended(i.Name, EndPortTaken)
	}
}

// cut cuts the callers of an address off.
func cut(f *crankfakenet.Front, d crankfakeplan.Disturbance) (end func() error, err error) {
	if f == nil {
		return nil, crank.Fail("instance disturbance", crank.KindInvalid, "%q needs addresses in front of the processes", d.Kind)
	}
	return func() error { return f.SetMode(crankfakenet.ModePass) }, f.SetMode(crankfakenet.Mode(d.How))
}
