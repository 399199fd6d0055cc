package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Crash simulates a crash of the engine process: all connections break, the
// requests, the cache and the fencing number are lost, and the engine restarts
// after a delay with a new boot ID.
func (s *Server) Crash(restartAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.crashLocked(restartAfter)
	}
}

func (s *Server) crashLocked(restartAfter time.Duration) {
	s.down = true
	s.crashes++
	close(s.crashed)
	time.AfterFunc(restartAfter, s.restart)
}

func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLocked()
	s.wakeUp()
}

// Crashes returns the number of crashes so far.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// BootID returns the ID of the current boot.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// Hang stops token generation and all responses without closing connections. It
// ends after the duration, or only with a restart if the duration is 0.
func (s *Server) Hang(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.hanging {
		return
	}
	s.hanging = true
	resumed := make(chan struct{})
	s.resumed = resumed
	if duration > 0 {
		time.AfterFunc(duration, func() { s.endHang(resumed) })
	}
}

// endHang ends the hang that the channel belongs to, unless a restart has ended it.
func (s *Server) endHang(resumed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hanging && s.resumed == resumed {
		s.resumeLocked()
		s.wakeUp()
	}
}

func (s *Server) resumeLocked() {
	s.hanging = false
	close(s.resumed)
}

// HangOpenConnections permanently hangs the requests in progress, and with Serve
// all open connections. New connections are not affected.
func (s *Server) HangOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hung)
	s.hung = make(chan struct{})
}

// connFaults holds the signals of the faults that affect a connection.
type connFaults struct {
	crashed <-chan struct{}
	hung    <-chan struct{}
}

type connFaultsKey struct{}

// faultsOf returns the fault signals for a request: with Serve, hung is the one
// recorded when its connection was opened, otherwise the current one.
func (s *Server) faultsOf(ctx context.Context) connFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := connFaults{crashed: s.crashed, hung: s.hung}
	if conn, ok := ctx.Value(connFaultsKey{}).(connFaults); ok {
		c.hung = conn.hung
	}
	return c
}

// waitWhileHung blocks while the engine hangs, and until a crash or the end of
// the request on a hung connection. It aborts the connection when the engine has
// crashed or crashes.
func (s *Server) waitWhileHung(ctx context.Context, c connFaults) {
	for {
		s.mu.Lock()
		hanging, resumed := s.hanging, s.resumed
		s.mu.Unlock()
		if isClosed(c.crashed) {
			panic(http.ErrAbortHandler)
		}
		if isClosed(c.hung) {
			resumed = nil
		} else if !hanging {
			return
		}
		select {
		case <-resumed:
		case <-c.crashed:
		case <-c.hungSignal():
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// hungSignal returns the hung channel, or nil once it is closed.
func (c connFaults) hungSignal() <-chan struct{} {
	if isClosed(c.hung) {
		return nil
	}
	return c.hung
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Serve runs the engine and its HTTP server on a TCP listener until the context
// ends. While the engine is down after a crash, the address refuses connections,
// as it would after the process has exited. Serve closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) }) // Run returns only when the context ends
	defer running.Wait()
	defer cancel()
	address := listener.Addr().String()
	for {
		if err := s.serveUntilCrash(ctx, listener); err != nil || ctx.Err() != nil {
			return unlessContextEnded(ctx, err)
		}
		if err := s.waitForRestart(ctx); err != nil {
			return nil // the context ended
		}
		var err error
		if listener, err = s.listen(ctx, address); err != nil {
			return unlessContextEnded(ctx, err)
		}
	}
}

// unlessContextEnded returns the error, or nil if the context has ended.
func unlessContextEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveUntilCrash serves HTTP until a crash or the end of the context.
func (s *Server) serveUntilCrash(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.mu.Lock()
			defer s.mu.Unlock()
			return context.WithValue(ctx, connFaultsKey{}, connFaults{hung: s.hung})
		},
	}
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	done := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		select {
		case <-ctx.Done():
		case <-crashed:
		case <-done:
		}
		_ = server.Close() // breaks the connections; a failure cannot be handled
	})
	err := server.Serve(listener)
	close(done)
	closing.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) waitForRestart(ctx context.Context) error {
	const poll = time.Millisecond
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// listen binds the address again after a crash. It retries because the port can
// be in use for a moment as the source port of another process's outgoing
// connection.
func (s *Server) listen(ctx context.Context, address string) (net.Listener, error) {
	if s.cfg.Listen != nil {
		return s.cfg.Listen(ctx)
	}
	const (
		attempts = 100
		pause    = 50 * time.Millisecond
	)
	var config net.ListenConfig
	var err error
	for range attempts {
		var listener net.Listener
		if listener, err = config.Listen(ctx, "tcp", address); err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pause):
		}
	}
	return nil, err
}
