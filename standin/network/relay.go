// Package network is a stand-in for what lies between two processes: a relay
// whose connections can go silent, and connections in memory.
package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections and can stop forwarding those that are open,
// without closing them. New connections work.
type Relay struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex
	quiet  chan struct{} // closed to silence the connections that are open now
	conns  []net.Conn
	faults Faults
}

// Faults of a relay, which hold for open and new connections until they are
// replaced. The zero value is none.
type Faults struct {
	Delay          time.Duration // of each piece of data
	Refuse         bool          // new connections are reset
	DropToTarget   bool          // nothing reaches the target; nobody is told
	DropFromTarget bool          // nothing comes back from the target
}

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Relay) current() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		resetConn(c)
	}
	r.conns = nil
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a reset
	}
	_ = c.Close()
}

// StartRelay listens on a free loopback port and forwards to the target.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, quiet: make(chan struct{})}
	r.running.Go(r.serve)
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.BlackholeOpenConnections()
	r.closeAll()
	r.running.Wait()
}

func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.current().Refuse {
			resetConn(in)
			continue
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		quiet := r.quiet
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.running.Go(func() { r.forward(in, out, quiet, true) })
		r.running.Go(func() { r.forward(out, in, quiet, false) })
	}
}

// BlackholeOpenConnections stops forwarding on all open connections for good.
func (r *Relay) BlackholeOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.quiet)
	r.quiet = make(chan struct{})
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// forward copies until an end closes or the connection is silenced. A silenced
// connection is still read, so that its sender notices nothing; bytes that a
// fault loses silence it for good, as TCP would not go on after a gap.
func (r *Relay) forward(from, to net.Conn, quiet <-chan struct{}, toTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-quiet:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		faults := r.current()
		if n > 0 && (toTarget && faults.DropToTarget || !toTarget && faults.DropFromTarget) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); err == nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
