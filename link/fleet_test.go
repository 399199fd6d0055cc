package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Guards against goroutines and connections that outlive their links.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testAgent is an agent on a loopback server. Tests set its run function.
type testAgent struct {
	*AgentServer
	instance storage.Instance
	holder   *contract.Holder
	suspects *poison.Table
	listener net.Listener
	stop     func() // closes the server and its connections
	run      func(context.Context, *connect.Request[rpc.RunRequest], *connect.ServerStream[rpc.RunEvent]) error

	mu   sync.Mutex
	load *rpc.LoadReport
}

func (a *testAgent) Run(ctx context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
	return a.run(ctx, req, stream)
}

func (a *testAgent) setLoad(change func(*rpc.LoadReport)) {
	a.mu.Lock()
	next := withoutPrefixes(a.load)
	next.CacheComplete = true
	next.CachedPrefixes = a.load.CachedPrefixes
	change(next)
	a.load = next
	a.mu.Unlock()
	a.LoadChanged()
}

func (a *testAgent) currentLoad() *rpc.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load
}

func startAgent(t testing.TB, id, service string, wrap func(net.Listener) net.Listener) *testAgent {
	return startAgentTLS(t, id, service, wrap, nil)
}

func startAgentTLS(t testing.TB, id, service string, wrap func(net.Listener) net.Listener, config *tls.Config) *testAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	a := &testAgent{
		instance: storage.Instance{
			ID: id, Role: storage.RoleAgent, DataCentre: "mvd-a", Service: service,
			Address: listener.Addr().String(), State: storage.InstanceLive,
		},
		holder:   new(contract.Holder),
		suspects: poison.NewTable(poison.Config{}),
		listener: listener,
		load: &rpc.LoadReport{
			State: rpc.UpstreamState_UPSTREAM_STATE_READY, Slots: 64,
			AgentTimeMs: 1, TokenIntervalUs: 30_000, CacheComplete: true,
		},
	}
	a.AgentServer = NewAgentServer(AgentServerConfig{
		ID: id, DataCentre: "mvd-a", Service: service, Incarnation: 7,
		Load: a.currentLoad, Holder: a.holder, Suspects: a.suspects, Logger: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewAgentHandler(a, HandlerOptions()...))
	mux.Handle(magnoliausherv1connect.NewPeerHandler(a, HandlerOptions()...))
	server, err := NewServer(mux, config)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = Serve(server, listener) }()
	a.stop = func() { _ = server.Close() }
	t.Cleanup(a.stop)
	return a
}

// testEntry is an entry whose links run until the test ends.
type testEntry struct {
	*EntryClient
	holder   *contract.Holder
	suspects *poison.Table
	members  *instance.Table
}

func startEntry(t testing.TB, id string, agents ...*testAgent) *testEntry {
	t.Helper()
	return startEntryWith(t, EntryClientConfig{ID: id}, nil, agents...)
}

// startEntryWith starts an entry whose instance list also contains instances
// that do not run.
func startEntryWith(t testing.TB, cfg EntryClientConfig, listed []storage.Instance, agents ...*testAgent) *testEntry {
	t.Helper()
	e := &testEntry{
		holder:   new(contract.Holder),
		suspects: poison.NewTable(poison.Config{}),
		members:  instance.NewTable(instance.Config{}),
	}
	list := append(listed, storage.Instance{ID: cfg.ID, Role: storage.RoleEntry, DataCentre: "mvd-a", State: storage.InstanceLive})
	for _, a := range agents {
		list = append(list, a.instance)
	}
	e.members.ApplyList(list, 1, time.Now())
	cfg.DataCentre, cfg.Incarnation, cfg.Logger = "mvd-a", 9, zerolog.Nop()
	cfg.Holder, cfg.Suspects, cfg.Members = e.holder, e.suspects, e.members
	e.EntryClient = NewEntryClient(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

// eventually waits for a condition. A condition that never holds ends with go
// test's timeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	t.Logf("waiting for: %s", what)
	for !condition() {
		time.Sleep(2 * time.Millisecond)
	}
}

func connectedCount(e *testEntry, service string) int {
	n := 0
	for _, u := range e.Upstreams(service) {
		if u.Connected && u.Load != nil {
			n++
		}
	}
	return n
}
