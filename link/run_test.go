package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// stallListener can silently drop the bytes of its open connections without
// closing them; connections accepted later work.
type stallListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*stallConn
}

func (l *stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &stallConn{Conn: conn, stalled: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *stallListener) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.once.Do(func() { close(c.stalled) })
	}
}

func (l *stallListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeAll closes all connections, including stalled ones, whose Close has no
// effect.
func (l *stallListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Conn.Close()
	}
}

type stallConn struct {
	net.Conn
	once    sync.Once
	stalled chan struct{}
}

func (c *stallConn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

func (c *stallConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isStalled() || err != nil {
			return n, err
		}
	}
}

func (c *stallConn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves a stalled connection open, so that the other end is not
// notified.
func (c *stallConn) Close() error {
	if c.isStalled() {
		return nil
	}
	return c.Conn.Close()
}

func stallableListener(t testing.TB, out **stallListener) func(net.Listener) net.Listener {
	return func(inner net.Listener) net.Listener {
		*out = &stallListener{Listener: inner}
		t.Cleanup((*out).closeAll)
		return *out
	}
}

// Guards against work that stays on connections that went silent while new
// ones would work: the control stream must reopen, a probe must move to a new
// online connection, and an attempt in progress must end with an error other
// than io.EOF.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var listener *stallListener
	agent := startAgent(t, "agent-1", "chat", stallableListener(t, &listener))
	agent.run = func(ctx context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
		_ = stream.Send(&rpc.RunEvent{AttemptId: req.Msg.AttemptId, Event: &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}})
		<-ctx.Done()
		return ctx.Err()
	}
	entry := startEntry(t, "entry-1", agent)
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x", Class: rpc.Class_CLASS_ONLINE})
	if err != nil {
		t.Fatal(err)
	}
	if event, err := stream.Recv(); err != nil || event.GetAccepted() == nil {
		t.Fatalf("event %v, error %v", event, err)
	}
	if n := entry.Upstreams("chat")[0].InProgress; n != 1 {
		t.Fatalf("%d attempts in progress, want 1", n)
	}
	listener.stall()
	before := listener.accepted()
	if _, err := stream.Recv(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("silent attempt ended with %v", err)
	}
	if err := entry.Probe(t.Context(), "agent-1"); err != nil {
		t.Errorf("probe over a new connection: %v", err)
	}
	eventually(t, "control stream on a new connection", func() bool {
		return listener.accepted() >= before+2 && connectedCount(entry, "chat") == 1
	})
	if u := entry.Upstreams("chat")[0]; u.InProgress != 0 {
		t.Errorf("%d attempts in progress after the failure", u.InProgress)
	}
}

// Guards against successive attempts that are sent into the same silent
// connection: abandoning an attempt before its first event must replace the
// connection.
func TestUnansweredAttemptReplacesConnection(t *testing.T) {
	var listener *stallListener
	agent := startAgent(t, "agent-1", "chat", stallableListener(t, &listener))
	entry := startEntry(t, "entry-1", agent)
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	if err := entry.Probe(t.Context(), "agent-1"); err != nil {
		t.Fatal(err)
	}
	link := entry.link("agent-1")
	silent := link.client(classOnline)
	listener.stall()
	time.Sleep(probeFreshness) // until the connection no longer counts as working
	stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x"})
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Close(); err != nil {
		t.Error(err)
	}
	eventually(t, "a working online connection", func() bool {
		c := link.client(classOnline)
		return c != silent && c.stats.lastRead.Load() != 0
	})
}

// Guards against events of another attempt in a response, an end of stream
// that the agent did not send, and a stale load report on an attempt's
// connection.
func TestRunDropsForeignEvents(t *testing.T) {
	agent := startAgent(t, "agent-1", "chat", nil)
	agent.run = func(_ context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
		if req.Header().Get(EntryHeader) != "entry-1" {
			return connect.NewError(connect.CodeInvalidArgument, errors.New("no entry in the header"))
		}
		for _, id := range []string{"other", req.Msg.AttemptId, ""} {
			event := &rpc.RunEvent{AttemptId: id, Event: &rpc.RunEvent_Data{Data: []byte(id)}}
			event.Load = &rpc.LoadReport{Slots: 1, AgentTimeMs: 0} // older than the report on the control stream
			_ = stream.Send(event)
		}
		return connect.NewError(connect.CodeAborted, errors.New("agent aborts the attempt"))
	}
	entry := startEntry(t, "entry-1", agent)
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "mine"})
	if err != nil {
		t.Fatal(err)
	}
	event, err := stream.Recv()
	if err != nil || string(event.GetData()) != "mine" {
		t.Fatalf("event %v, error %v", event, err)
	}
	if _, err = stream.Recv(); connect.CodeOf(err) != connect.CodeAborted {
		t.Fatalf("after the last own event: %v", err)
	}
	if slots := entry.Upstreams("chat")[0].Load.Slots; slots != 64 {
		t.Errorf("an older report replaced the load: %d slots", slots)
	}
	if err := stream.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against reporting an attempt whose connection never opened as
// possibly executed, in which case non-repeatable calls could not be retried.
func TestRunWithoutConnectionIsNotSent(t *testing.T) {
	agent := startAgent(t, "agent-1", "chat", nil)
	entry := startEntry(t, "entry-1", agent)
	if _, err := entry.Run(t.Context(), "agent-9", &rpc.RunRequest{AttemptId: "x"}); !errors.Is(err, ErrNoLink) {
		t.Errorf("unknown agent: %v", err)
	}
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	_ = agent.listener.Close() // the control stream stays open
	if _, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x"}); !errors.Is(err, ErrNoLink) {
		t.Errorf("refused connection: %v", err)
	}
	if n := entry.Upstreams("chat")[0].InProgress; n != 0 {
		t.Errorf("%d attempts in progress", n)
	}
}

// Guards against an attempt that waits forever on an agent that sends no
// events although its connection answers pings.
func TestAttemptWithoutProgressEnds(t *testing.T) {
	agent := startAgent(t, "agent-1", "chat", nil)
	ended := make(chan struct{})
	agent.run = func(ctx context.Context, _ *connect.Request[rpc.RunRequest], _ *connect.ServerStream[rpc.RunEvent]) error {
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}
	entry := startEntry(t, "entry-1", agent)
	entry.cfg.ProgressTimeout = 20 * time.Millisecond
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Recv(); !errors.Is(err, ErrNoProgress) {
		t.Errorf("error %v", err)
	}
	<-ended // the cancellation reaches the agent
}

// Guards against lost grants and against demands that remain after they were
// withdrawn.
func TestDemandAndGrant(t *testing.T) {
	agent := startAgent(t, "agent-1", "chat", nil)
	entry := startEntry(t, "entry-1", agent)
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	entry.SetDemand("chat", Demand{Items: 100, EarliestDue: time.Now().Add(time.Hour)})
	<-agent.DemandChanged()
	eventually(t, "demand", func() bool { return len(agent.Demands()) == 1 })
	if d := agent.Demands()[0]; d.EntryID != "entry-1" || d.Items != 100 {
		t.Errorf("demand %+v", d)
	}
	if !agent.Grant("entry-1", 5, time.Second) || agent.Grant("entry-2", 5, time.Second) {
		t.Error("grant to the wrong entries")
	}
	if g := <-entry.Grants(); g.Items != 5 || g.AgentID != "agent-1" || g.Service != "chat" {
		t.Errorf("grant %+v", g)
	}
	entry.SetDemand("chat", Demand{})
	eventually(t, "withdrawn demand", func() bool { return len(agent.Demands()) == 0 })
}

// Guards against the refusal of a copy of an attempt that is taken for "not run": the
// HTTP client sends a request again after some resets, and the first copy may have run.
func TestRefusalOfCopyIsNoRefusal(t *testing.T) {
	refusal := &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "ticket_expired"}}
	for _, reset := range []bool{false, true} {
		var listener *stallListener
		agent := startAgent(t, "agent-1", "chat", stallableListener(t, &listener))
		var runs atomic.Int32
		agent.run = func(ctx context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
			if runs.Add(1) == 1 && reset {
				// RST_STREAM with PROTOCOL_ERROR of the first stream of the online connection
				_, err := listener.newest().Write([]byte{0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 1})
				<-ctx.Done()
				return errors.Join(err, ctx.Err())
			}
			return stream.Send(&rpc.RunEvent{AttemptId: req.Msg.AttemptId, Event: refusal})
		}
		entry := startEntry(t, "entry-1", agent)
		eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
		stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x"})
		if err != nil {
			t.Fatal(err)
		}
		event, err := stream.Recv()
		switch {
		case !reset && (err != nil || event.GetRefused() == nil):
			t.Errorf("one copy: event %v, error %v", event, err)
		case reset && (err == nil || errors.Is(err, ErrNoLink) || errors.Is(err, io.EOF) || runs.Load() != 2):
			t.Errorf("second of %d copies: event %v, error %v", runs.Load(), event, err)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	}
}

// newest returns the connection that was accepted last.
func (l *stallListener) newest() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[len(l.conns)-1]
}
