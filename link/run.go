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

// ErrNoProgress means that an attempt's stream had no event within the
// progress timeout.
var ErrNoProgress = errors.New("attempt received no event within the progress timeout")

const (
	// probeFreshness is how recently an online connection must have received a
	// byte to count as working without a probe.
	probeFreshness = time.Second
	// probeTimeout limits each of the two tries of a probe. Together with the
	// 250 ms after which an attempt is rerouted, it keeps the time until a
	// lost agent is avoided below 2 s.
	probeTimeout = 700 * time.Millisecond
)

// classClient is the HTTP client of one class of a link.
type classClient struct {
	http  *http.Client
	url   string
	stats *connStats
}

func (e *EntryClient) newClassClient(c class, address string) *classClient {
	stats := new(connStats)
	return &classClient{
		http:  newHTTPClient(c, e.cfg.TLS, e.cfg.dial, stats),
		url:   baseURL(address, e.cfg.TLS),
		stats: stats,
	}
}

// client returns the link's client of a class, creating it on first use.
func (l *entryLink) client(c class) *classClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[c] == nil {
		l.clients[c] = l.entry.newClassClient(c, l.agent.Address)
	}
	return l.clients[c]
}

// dropClient makes later calls use a new connection. Attempts in progress
// continue on the old one until they end.
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
// byte was sent; after any other error the attempt may have been executed.
func (e *EntryClient) Run(ctx context.Context, agentID string, req *rpc.RunRequest) (Stream, error) {
	l := e.link(agentID)
	if l == nil {
		return nil, fmt.Errorf("%w: %s is not linked", ErrNoLink, agentID)
	}
	online := req.GetClass() != rpc.Class_CLASS_BATCH
	incarnation, ok := l.beginAttempt(online)
	if !ok {
		return nil, fmt.Errorf("%w: %s is not connected", ErrNoLink, agentID)
	}
	c := classBatch
	if online {
		c = classOnline
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &runStream{
		link:            l,
		attemptID:       req.GetAttemptId(),
		incarnation:     incarnation,
		online:          online,
		cancel:          cancel,
		connected:       make(chan struct{}),
		callDone:        make(chan struct{}),
		progressTimeout: e.cfg.ProgressTimeout,
	}
	s.timer = time.AfterFunc(s.progressTimeout, func() { cancel(ErrNoProgress) })
	go s.call(ctx, l.client(c), req)
	err := s.awaitConnection(ctx)
	s.timer.Stop() // Recv restarts it, so that a slow reader does not end the attempt
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// beginAttempt counts an attempt and returns the agent's incarnation. It
// reports false if the link is not connected.
func (l *entryLink) beginAttempt(online bool) (incarnation uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.upstream.Connected {
		return 0, false
	}
	l.attempts++
	if online {
		l.upstream.InProgress++
		l.upstream.SentSince++
	}
	return l.upstream.Incarnation, true
}

func (l *entryLink) endAttempt(online bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts--
	if online {
		l.upstream.InProgress--
	}
}

// runStream is one attempt at one agent.
type runStream struct {
	link            *entryLink
	attemptID       string
	incarnation     uint64 // of the agent when the attempt started
	online          bool
	progressTimeout time.Duration
	cancel          context.CancelCauseFunc
	timer           *time.Timer // cancels with ErrNoProgress
	endOnce         sync.Once

	connected chan struct{} // closed when the HTTP client has a connection
	callDone  chan struct{} // closed when the results below are set
	stream    *connect.ServerStreamForClient[rpc.RunEvent]
	callErr   error
	ctx       context.Context // of the call, for its cause

	eventReceived atomic.Bool  // at least one event arrived
	copies        atomic.Int32 // times that the HTTP client sent the request

	mu     sync.Mutex // held by Recv; closeStream locks it after the cancellation
	closed bool
}

// call sends the request. It runs in its own goroutine, because the client
// returns only when the response headers have arrived.
func (s *runStream) call(ctx context.Context, client *classClient, req *rpc.RunRequest) {
	defer close(s.callDone)
	s.ctx = ctx
	var once sync.Once
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { once.Do(func() { close(s.connected) }) },
		WroteHeaders: func() { s.copies.Add(1) },
	})
	request := connect.NewRequest(req)
	request.Header().Set(EntryHeader, s.link.entry.cfg.ID)
	agent := magnoliausherv1connect.NewAgentClient(client.http, client.url, clientOptions()...)
	s.stream, s.callErr = agent.Run(traced, request)
}

// awaitConnection waits until the HTTP client has a connection for the
// request, or returns the error if none could be opened.
func (s *runStream) awaitConnection(ctx context.Context) error {
	select {
	case <-s.connected:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-s.callDone:
	}
	return s.startError()
}

// startError returns the error of a finished call wrapped in ErrNoLink, or nil
// if the call had a connection.
func (s *runStream) startError() error {
	select {
	case <-s.connected:
		return nil // Recv will return the error
	default:
	}
	err := s.callErr
	if err == nil { // the stream holds the dial error
		s.stream.Receive()
		err = s.stream.Err()
	}
	return fmt.Errorf("%w: %w", ErrNoLink, err)
}

// Recv returns the next event of the attempt. Events of other attempts are
// dropped.
func (s *runStream) Recv() (*rpc.RunEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, context.Canceled
	}
	s.timer.Reset(s.progressTimeout)
	defer s.timer.Stop()
	<-s.callDone
	if s.callErr != nil {
		return nil, s.fail(s.callErr)
	}
	for s.stream.Receive() {
		event := s.stream.Msg()
		now := time.Now()
		s.eventReceived.Store(true)
		s.link.updateLastHeard(s.incarnation, now)
		s.link.applyLoad(event.GetLoad(), s.incarnation, now)
		if event.GetAttemptId() != s.attemptID {
			continue
		}
		if deniesExecution(event) && s.copies.Load() > 1 {
			return nil, s.fail(errCopyDenied)
		}
		if isTerminal(event) {
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

// errCopyDenied ends an attempt whose last event says that it did not run. The HTTP client
// sends a request again after some resets, and the agent speaks of the last copy only.
var errCopyDenied = errors.New("agent did not run a copy of the attempt, and an earlier copy may have run")

// deniesExecution reports whether the event says that the attempt did not run.
func deniesExecution(event *rpc.RunEvent) bool {
	return event.GetRefused() != nil || event.GetFailed().GetExecuted() == rpc.Executed_EXECUTED_NO
}

// isTerminal reports whether the event ends the attempt at the agent.
func isTerminal(event *rpc.RunEvent) bool {
	return event.GetEnd() != nil || event.GetRefused() != nil || event.GetFailed() != nil
}

// fail ends the attempt. It returns ErrNoProgress if that cancelled the
// attempt, otherwise err.
func (s *runStream) fail(err error) error {
	s.end()
	if cause := context.Cause(s.ctx); errors.Is(cause, ErrNoProgress) {
		return ErrNoProgress
	}
	return err
}

// end removes the attempt from the link's counts.
func (s *runStream) end() {
	s.endOnce.Do(func() { s.link.endAttempt(s.online) })
}

// Close cancels the attempt if it has not ended. It may be called while
// another goroutine is in Recv.
func (s *runStream) Close() error {
	s.cancel(context.Canceled)
	s.timer.Stop()
	s.end()
	go s.closeStream() // waits for call, which the cancellation ends
	if s.online && !s.eventReceived.Load() {
		s.link.probeInBackground()
	}
	return nil
}

func (s *runStream) closeStream() {
	<-s.callDone
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

// Probe checks that the agent answers on the online connection. A connection
// that received data within the last second counts as working. One that does
// not answer is replaced, and the new connection is tried once; if that fails
// too, the error is ErrNoLink.
func (e *EntryClient) Probe(ctx context.Context, agentID string) error {
	l := e.link(agentID)
	if l == nil {
		return fmt.Errorf("%w: %s is not linked", ErrNoLink, agentID)
	}
	return l.probe(ctx)
}

func (l *entryLink) probe(ctx context.Context) error {
	c := l.client(classOnline)
	if c.stats.receivedWithin(probeFreshness, time.Now()) {
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
	l.reconnect() // a new control stream shows whether the agent is lost
	return fmt.Errorf("%w: %w", ErrNoLink, err)
}

// probeInBackground probes the online connection after an attempt was
// abandoned without any event, so that later attempts do not wait on the same
// silent connection. At most one such probe runs at a time.
func (l *entryLink) probeInBackground() {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 3*probeTimeout)
		defer cancel()
		if err := l.probe(ctx); err != nil {
			l.entry.cfg.Logger.Warn().Err(err).Str("agent", l.agent.ID).Msg("agent did not answer a probe of its online connection")
		}
	}()
}

// probe requests a version that no peer has, which costs one small message in
// each direction.
func (c *classClient) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	peer := magnoliausherv1connect.NewPeerClient(c.http, c.url, clientOptions()...)
	_, err := peer.FetchConfig(ctx, connect.NewRequest(&rpc.FetchConfigRequest{MinVersion: math.MaxUint64}))
	return err
}
