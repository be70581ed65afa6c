package crankfakenet

import "net"

// conn is an accepted connection.
type conn struct {
	net.Conn
	l *Listener
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	if m, _, changed := c.l.state(); m == ModeSilent {
		<-changed // which resets the connection
		return 0, net.ErrClosed
	}
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	for {
		switch m, _, changed := c.l.state(); {
		case m.dropsBytes():
			return len(b), nil
		case m == ModeLate:
			<-changed
		default:
			return c.Conn.Write(b)
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close is an ordinary one
	}
	c.Close()
}
