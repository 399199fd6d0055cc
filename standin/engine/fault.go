package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Crash ends the engine: it breaks all connections, forgets all requests, its
// cache and its fencing number, and restarts after a delay with a new boot id.
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

// BootID returns the id of the present run.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// Hang stops the engine without closing a connection: nothing is generated
// and nothing is answered. It ends after a duration, or with 0 only by a restart.
func (s *Server) Hang(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silent {
		return
	}
	s.silent = true
	resumed := make(chan struct{})
	s.resumed = resumed
	if duration > 0 {
		time.AfterFunc(duration, func() { s.endSilence(resumed) })
	}
}

// endSilence ends the silence that the channel belongs to, unless a restart has.
func (s *Server) endSilence(resumed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && s.resumed == resumed {
		s.resumeLocked()
		s.wakeUp()
	}
}

func (s *Server) resumeLocked() {
	s.silent = false
	close(s.resumed)
}

// HangOpenConnections silences the requests in progress, and with Serve all open
// connections, for good. New connections work.
func (s *Server) HangOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.quiet)
	s.quiet = make(chan struct{})
}

// connection is what a request sees of the faults of its connection.
type connection struct {
	crashed <-chan struct{}
	quiet   <-chan struct{}
}

type connectionKey struct{}

// faults returns the channels that concern a request: those of its connection
// with Serve, else those at its arrival.
func (s *Server) faults(ctx context.Context) connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := connection{crashed: s.crashed, quiet: s.quiet}
	if of, ok := ctx.Value(connectionKey{}).(connection); ok {
		c.quiet = of.quiet
	}
	return c
}

// hold waits while the engine is silent, and for good on a silenced
// connection. It aborts the connection when the engine has crashed or crashes.
func (s *Server) hold(ctx context.Context, c connection) {
	for {
		s.mu.Lock()
		silent, resumed := s.silent, s.resumed
		s.mu.Unlock()
		if closed(c.crashed) {
			panic(http.ErrAbortHandler)
		}
		if closed(c.quiet) {
			resumed = nil
		} else if !silent {
			return
		}
		select {
		case <-resumed:
		case <-c.crashed:
		case <-c.quietNotice():
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// quietNotice is the quiet channel until it is closed, then nil.
func (c connection) quietNotice() <-chan struct{} {
	if closed(c.quiet) {
		return nil
	}
	return c.quiet
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Serve runs the engine and its HTTP server on a TCP listener until the context
// ends. During a crash the address refuses connections, as that of a process
// that has ended. Serve closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) }) // Run ends only with the context
	defer running.Wait()
	defer cancel()
	address := listener.Addr().String()
	for {
		if err := s.serveBoot(ctx, listener); err != nil || ctx.Err() != nil {
			return endOf(ctx, err)
		}
		if err := s.waitUp(ctx); err != nil {
			return nil // the context ended
		}
		var err error
		if listener, err = s.listen(ctx, address); err != nil {
			return endOf(ctx, err)
		}
	}
}

// endOf drops an error that comes from the end of the context.
func endOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveBoot serves until a crash or the end of the context.
func (s *Server) serveBoot(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.mu.Lock()
			defer s.mu.Unlock()
			return context.WithValue(ctx, connectionKey{}, connection{quiet: s.quiet})
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
		_ = server.Close() // breaks the connections; nothing to do about a failure
	})
	err := server.Serve(listener)
	close(done)
	closing.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// waitUp waits for the restart after a crash.
func (s *Server) waitUp(ctx context.Context) error {
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

// listen opens the address again after a crash. Another process can hold it for a moment
// as the source of an outgoing connection.
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
