// Package network simulates the network between two processes: a TCP relay with
// fault injection, and in-memory connections.
package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is a TCP relay with fault injection. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu        sync.Mutex
	blackhole chan struct{} // closed to black-hole the connections that are open now
	conns     []net.Conn
	faults    Faults
}

// Faults are the faults of a relay. They apply to open and new connections until
// they are replaced. The zero value means no faults.
type Faults struct {
	Delay          time.Duration // delay of each chunk of data
	Refuse         bool          // reset new connections
	DropToTarget   bool          // drop data to the target without notice
	DropFromTarget bool          // drop data from the target without notice
}

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Relay) currentFaults() Faults {
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

// StartRelay starts a relay that listens on a free loopback port and forwards to
// the target.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, blackhole: make(chan struct{})}
	r.running.Go(r.serve)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay and closes all its connections.
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
		if r.currentFaults().Refuse {
			resetConn(in)
			continue
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		blackhole := r.blackhole
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		r.running.Go(func() { r.forward(in, out, blackhole, true) })
		r.running.Go(func() { r.forward(out, in, blackhole, false) })
	}
}

// BlackholeOpenConnections permanently stops forwarding on all open connections
// without closing them. New connections are not affected.
func (r *Relay) BlackholeOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.blackhole)
	r.blackhole = make(chan struct{})
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// forward copies data until either end closes or the connection is black-holed. A
// black-holed connection is still read, so that its sender sees no backpressure.
// Once a fault has dropped data, the connection stays black-holed, because TCP
// does not deliver data after a gap.
func (r *Relay) forward(from, to net.Conn, blackhole <-chan struct{}, toTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-blackhole:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		faults := r.currentFaults()
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
