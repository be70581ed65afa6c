// Package crankfakenet provides loopback listeners with fault injection for the
// stand-ins of a site.
package crankfakenet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"

	crank "cranberrycrank"
)

const (
	firstPort     = 10000
	portsAProcess = 1500
	blockSize     = 1 + portsAProcess // with the port that claims it
	portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"
)

// Ports draws loopback ports below the range of outgoing connections, which
// therefore can't take them while their listener is down.
type Ports struct {
	mu    sync.Mutex
	first int
	drawn int
	claim net.Listener // holds the block, at the port before first
}

// OwnPorts returns the ports of this process.
var OwnPorts = sync.OnceValues(func() (*Ports, error) { return NewPorts(os.Getpid()) })

// NewPorts returns ports that no other value has, in this process or another. The ID of
// the process selects where the search for them begins.
func NewPorts(pid int) (*Ports, error) {
	const op = "port range"
	data, err := os.ReadFile(portRangeFile)
	if err != nil {
		return nil, crank.Wrap(op, crank.KindUnavailable, err)
	}
	var low, high int
	if _, err := fmt.Sscan(string(data), &low, &high); err != nil {
		return nil, crank.Wrap(op, crank.KindInvalid, err)
	}
	blocks := (low - firstPort) / blockSize
	for n := range blocks {
		port := firstPort + (pid+n)%blocks*blockSize
		claim, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return &Ports{first: port + 1, claim: claim}, nil
		}
		if !IsTaken(err) {
			return nil, crank.Wrap(op, crank.KindUnavailable, err)
		}
	}
	return nil, crank.Fail(op, crank.KindUnavailable, "all %d blocks of ports between %d and %d are taken", blocks, firstPort, low)
}

// Close lets others have the ports.
func (p *Ports) Close() { p.claim.Close() }

// Draw returns an address that nothing listens at. It is drawn again only after all
// others.
func (p *Ports) Draw() (string, error) {
	l, err := p.listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// listen listens at the next address that is free.
func (p *Ports) listen() (net.Listener, error) {
	const op = "port draw"
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portsAProcess {
		addr := fmt.Sprintf("127.0.0.1:%d", p.first+p.drawn%portsAProcess)
		p.drawn++
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l, nil
		}
		if !IsTaken(err) {
			return nil, crank.Wrap(op, crank.KindUnavailable, err)
		}
	}
	return nil, crank.Fail(op, crank.KindUnavailable, "no port from %d on is free", p.first)
}

// Listen serves a handler at an address that nothing else listens at.
func (p *Ports) Listen(h http.Handler) (*Listener, error) {
	in, err := p.listen()
	if err != nil {
		return nil, err
	}
	l := newListener(in.Addr().String(), h)
	l.serve(in)
	return l, nil
}

// IsTaken reports whether an error says that an address is in use.
func IsTaken(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// LogsTaken reports whether a process logged that an address is in use.
func LogsTaken(log string) bool { return strings.Contains(log, "address already in use") }
