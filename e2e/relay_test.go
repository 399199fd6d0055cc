package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections and can stop forwarding those that are open,
// without closing them. New connections work.
type relay struct {
	target string

	mu    sync.Mutex
	quiet chan struct{} // closed to silence the connections that are open now
	conns []net.Conn
}

// startRelay returns a relay and its address.
func startRelay(t *testing.T, target string) (*relay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, quiet: make(chan struct{})}
	var running sync.WaitGroup
	running.Go(func() { r.serve(l, &running) })
	t.Cleanup(func() {
		_ = l.Close()
		r.silence()
		r.closeAll()
		running.Wait()
	})
	return r, l.Addr().String()
}

func (r *relay) serve(l net.Listener, running *sync.WaitGroup) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
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
		running.Go(func() { forward(in, out, quiet) })
		running.Go(func() { forward(out, in, quiet) })
	}
}

// silence stops forwarding on all open connections for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.quiet)
	r.quiet = make(chan struct{})
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// forward copies until an end closes or the connection is silenced. A silenced
// connection is still read, so that its sender notices nothing.
func forward(from, to net.Conn, quiet <-chan struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-quiet:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}
