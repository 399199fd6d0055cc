package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

// ErrNoProgress: an attempt's stream had no event within the progress timeout.
var ErrNoProgress = errors.New("no event of the attempt within the progress timeout")

const (
	// probeFresh is how recent the last byte of an online connection must be
	// for it to count as working without a probe.
	probeFresh = time.Second
	// probeTimeout bounds each of the two tries of a probe. With the 250 ms
	// after which an attempt is rerouted, a lost agent is avoided within 2 s.
	probeTimeout = 700 * time.Millisecond
)

// classClient is the HTTP client of one class of a link.
type classClient struct {
	http    *http.Client
	url     string
	traffic *traffic
}

func (e *EntryClient) newClassClient(c class, address string) *classClient {
	count := new(traffic)
	return &classClient{
		http:    newHTTPClient(c, e.cfg.TLS, e.cfg.dial, count),
		url:     baseURL(address, e.cfg.TLS),
		traffic: count,
	}
}

// client returns the link's client of a class; it dials on first use.
func (l *entryLink) client(c class) *classClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[c] == nil {
		l.clients[c] = l.side.newClassClient(c, l.agent.Address)
	}
	return l.clients[c]
}

// dropClient makes later calls use a new connection. Attempts in progress on
// the old one end by themselves.
func (l *entryLink) dropClient(c class, old *classClient) {
	l.mu.Lock()
	if l.clients[c] == old {
		l.clients[c] = nil
	}
	l.mu.Unlock()
	old.http.CloseIdleConnections()
}

func (l *entryLink) closeClients() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		if c != nil {
			c.http.CloseIdleConnections()
		}
	}
}

// Run starts one attempt. ErrNoLink, also when Recv returns it, means that no
// byte was sent; with any other error the attempt may run.
func (e *EntryClient) Run(ctx context.Context, agentID string, req *rpc.RunRequest) (Stream, error) {
	l := e.link(agentID)
	if l == nil {
		return nil, fmt.Errorf("%w: %s is not linked", ErrNoLink, agentID)
	}
	online := req.GetClass() != rpc.Class_CLASS_BATCH
	incarnation, ok := l.begin(online)
	if !ok {
		return nil, fmt.Errorf("%w: %s is not connected", ErrNoLink, agentID)
	}
	c := classBatch
	if online {
		c = classOnline
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &runStream{
		link:        l,
		attemptID:   req.GetAttemptId(),
		incarnation: incarnation,
		online:      online,
		cancel:      cancel,
		connected:   make(chan struct{}),
		called:      make(chan struct{}),
		progress:    e.cfg.ProgressTimeout,
	}
	s.timer = time.AfterFunc(s.progress, func() { cancel(ErrNoProgress) })
	go s.call(ctx, l.client(c), req)
	err := s.awaitConnection(ctx)
	s.timer.Stop() // Recv starts it again, so a slow reader costs no attempt
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// begin counts an attempt.
func (l *entryLink) begin(online bool) (incarnation uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.view.Connected {
		return 0, false
	}
	l.running++
	if online {
		l.view.InProgress++
		l.view.SentSince++
	}
	return l.view.Incarnation, true
}

func (l *entryLink) end(online bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if online {
		l.view.InProgress--
	}
}

// runStream is one attempt at one agent.
type runStream struct {
	link        *entryLink
	attemptID   string
	incarnation uint64 // of the agent when the attempt started
	online      bool
	progress    time.Duration
	cancel      context.CancelCauseFunc
	timer       *time.Timer // cancels with ErrNoProgress
	endOnce     sync.Once

	connected chan struct{} // closed when a connection was chosen
	called    chan struct{} // closed when the call below is set
	stream    *connect.ServerStreamForClient[rpc.RunEvent]
	callErr   error
	ctx       context.Context // of the call, for its cause

	heard atomic.Bool // an event arrived

	mu     sync.Mutex // held by Recv; Close takes it after cancelling
	closed bool
}

// call sends the request. The client returns only with the response's
// headers, so it runs beside the caller.
func (s *runStream) call(ctx context.Context, client *classClient, req *rpc.RunRequest) {
	defer close(s.called)
	s.ctx = ctx
	var once sync.Once
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { once.Do(func() { close(s.connected) }) },
	})
	request := connect.NewRequest(req)
	request.Header().Set(EntryHeader, s.link.side.cfg.ID)
	agent := magnoliausherv1connect.NewAgentClient(client.http, client.url, clientOptions()...)
	s.stream, s.callErr = agent.Run(traced, request)
}

// awaitConnection returns when a connection was chosen, or the error when none
// could be opened.
func (s *runStream) awaitConnection(ctx context.Context) error {
	select {
	case <-s.connected:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-s.called:
	}
	return s.startError()
}

// startError is the error of a finished call; without a connection it is ErrNoLink.
func (s *runStream) startError() error {
	select {
	case <-s.connected:
		return nil // Recv returns the error
	default:
	}
	err := s.callErr
	if err == nil { // the stream holds the error of the dial
		s.stream.Receive()
		err = s.stream.Err()
	}
	return fmt.Errorf("%w: %w", ErrNoLink, err)
}

// Recv returns the next event of the attempt. Events of other attempts are dropped.
func (s *runStream) Recv() (*rpc.RunEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, context.Canceled
	}
	s.timer.Reset(s.progress)
	defer s.timer.Stop()
	<-s.called
	if s.callErr != nil {
		return nil, s.fail(s.callErr)
	}
	for s.stream.Receive() {
		event := s.stream.Msg()
		now := time.Now()
		s.heard.Store(true)
		s.link.touch(s.incarnation, now)
		s.link.takeLoad(event.GetLoad(), s.incarnation, now)
		if event.GetAttemptId() != s.attemptID {
			continue
		}
		if isLast(event) {
			s.end()
		}
		return event, nil
	}
	if err := s.stream.Err(); err != nil {
		return nil, s.fail(err)
	}
	s.end()
	return nil, io.EOF
}

// isLast reports whether the attempt is over at the agent.
func isLast(event *rpc.RunEvent) bool {
	return event.GetEnd() != nil || event.GetRefused() != nil || event.GetFailed() != nil
}

// fail ends the attempt and prefers the cause of a cancellation.
func (s *runStream) fail(err error) error {
	s.end()
	if cause := context.Cause(s.ctx); errors.Is(cause, ErrNoProgress) {
		return ErrNoProgress
	}
	return err
}

// end stops counting the attempt.
func (s *runStream) end() {
	s.endOnce.Do(func() { s.link.end(s.online) })
}

// Close cancels the attempt if it has not ended. It may be called while
// another goroutine is in Recv.
func (s *runStream) Close() error {
	s.cancel(context.Canceled)
	s.timer.Stop()
	s.end()
	go s.release() // waits for the call, which the cancellation ends
	if s.online && !s.heard.Load() {
		s.link.checkOnline()
	}
	return nil
}

func (s *runStream) release() {
	<-s.called
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.stream != nil {
		_ = s.stream.Close()
	}
}

// Probe makes sure that the agent answers on the online connection. A
// connection that received something within 1 s counts as working. A silent
// one is replaced and the new one tried once; ErrNoLink when that fails too.
func (e *EntryClient) Probe(ctx context.Context, agentID string) error {
	l := e.link(agentID)
	if l == nil {
		return fmt.Errorf("%w: %s is not linked", ErrNoLink, agentID)
	}
	return l.probe(ctx)
}

func (l *entryLink) probe(ctx context.Context) error {
	c := l.client(classOnline)
	if c.traffic.heardWithin(probeFresh, time.Now()) {
		return nil
	}
	err := c.probe(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	l.dropClient(classOnline, c)
	err = l.client(classOnline).probe(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	l.reopen() // the agent is lost, or its control stream proves that it is not
	return fmt.Errorf("%w: %w", ErrNoLink, err)
}

// checkOnline probes after an attempt that was given up without any event, so
// that the next ones do not wait on the same silent connection. One check runs
// at a time.
func (l *entryLink) checkOnline() {
	if !l.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.checking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 3*probeTimeout)
		defer cancel()
		if err := l.probe(ctx); err != nil {
			l.side.cfg.Logger.Warn().Err(err).Str("agent", l.agent.ID).Msg("agent does not answer")
		}
	}()
}

// probe asks for a version that no peer has, which costs one small message
// each way on the connection.
func (c *classClient) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	peer := magnoliausherv1connect.NewPeerClient(c.http, c.url, clientOptions()...)
	_, err := peer.FetchConfig(ctx, connect.NewRequest(&rpc.FetchConfigRequest{MinVersion: math.MaxUint64}))
	return err
}
