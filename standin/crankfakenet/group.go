package crankfakenet

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Hosts is the number of loopback hosts at which a Group listens. Callers that use
// different ones can be treated differently.
const Hosts = 4

// firstHost is the first of them.
const firstHost = "127.0.0.1"

// Host returns a loopback host.
func Host(n int) string { return fmt.Sprintf("127.0.0.%d", 1+n%Hosts) }

// AtHost returns an address of a Group as the callers of a host use it.
func AtHost(addr string, n int) string { return Host(n) + strings.TrimPrefix(addr, firstHost) }

// Group serves one handler at one port of all hosts.
type Group struct{ listeners [Hosts]*Listener }

// ListenAtAllHosts serves a handler at a port that nothing else listens at.
func (p *Ports) ListenAtAllHosts(h http.Handler) (*Group, error) {
	first, err := p.Listen(h)
	if err != nil {
		return nil, err
	}
	g := &Group{}
	g.listeners[0] = first
	for n := 1; n < Hosts; n++ {
		l := newListener(AtHost(first.Addr(), n), h)
		if err := l.open(); err != nil {
			return nil, errors.Join(err, g.Close())
		}
		g.listeners[n] = l
	}
	return g, nil
}

// Addr returns the address at the first host.
func (g *Group) Addr() string { return g.listeners[0].Addr() }

// SetHandler replaces the handler.
func (g *Group) SetHandler(h http.Handler) {
	for _, l := range g.listeners {
		l.SetHandler(h)
	}
}

// SetMode replaces the mode at some hosts, at all if none is given.
func (g *Group) SetMode(m Mode, hosts ...int) error {
	if len(hosts) == 0 {
		for n := range g.listeners {
			hosts = append(hosts, n)
		}
	}
	results := make(chan error, len(hosts))
	for _, n := range hosts {
		go func() { results <- g.listeners[n%Hosts].SetMode(m) }()
	}
	var all error
	for range hosts {
		all = errors.Join(all, <-results)
	}
	return all
}

// Close ends the listeners.
func (g *Group) Close() error {
	var all error
	for _, l := range g.listeners {
		if l != nil {
			all = errors.Join(all, l.Close())
		}
	}
	return all
}
