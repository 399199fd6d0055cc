package job

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
)

// fakeAgents is a set of agents shared by all entries. It sends grants, runs items
// with answer, and counts the runs of each item.
type fakeAgents struct {
	mu     sync.Mutex
	slots  int // per entry
	answer func(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent
	runs   map[string]int // by request body
	poll   time.Duration  // between grants
}

func newFakeAgents(slots int) *fakeAgents {
	return &fakeAgents{slots: slots, poll: 10 * time.Millisecond, runs: make(map[string]int)}
}

// fakePort is one entry's connection to the agents.
type fakePort struct {
	agents    *fakeAgents
	mu        sync.Mutex
	demand    map[string]link.Demand
	active    int
	grants    chan link.Grant
	cancelled chan string
}

func newFakePort(f *fakeAgents) *fakePort {
	return &fakePort{
		agents: f, demand: make(map[string]link.Demand),
		grants: make(chan link.Grant), cancelled: make(chan string, 10),
	}
}

func (p *fakePort) SetDemand(service string, d link.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[service] = d
}
func (p *fakePort) Grants() <-chan link.Grant { return p.grants }
func (p *fakePort) AnnounceCancelled(string)  {}
func (p *fakePort) Cancelled() <-chan string  { return p.cancelled }

// grant periodically sends grants for free slots while there is demand.
func (p *fakePort) grant(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		var offers []link.Grant
		for service, d := range p.demand {
			if n := min(d.Items, p.agents.slots-p.active); n > 0 {
				offers = append(offers, link.Grant{AgentID: "agent-1", Service: service, Items: n, Until: time.Now().Add(time.Second)})
			}
		}
		p.mu.Unlock()
		for _, g := range offers {
			select {
			case p.grants <- g:
			case <-ctx.Done():
			}
		}
		time.Sleep(p.agents.poll)
	}
}

func (p *fakePort) Upstreams(service string) []link.Upstream {
	return []link.Upstream{{
		AgentID: "agent-1", Service: service, Connected: true, Incarnation: 7,
		Load: &rpc.LoadReport{AgentTimeMs: 1000}, LoadAt: time.Now(),
	}}
}
func (p *fakePort) Probe(context.Context, string) error { return nil }

func (p *fakePort) Run(ctx context.Context, _ string, req *rpc.RunRequest) (link.Stream, error) {
	p.mu.Lock()
	p.active++
	p.mu.Unlock()
	p.agents.mu.Lock()
	p.agents.runs[string(req.Body)]++
	p.agents.mu.Unlock()
	events := p.agents.answer(ctx, req)
	return &fakeStream{port: p, ctx: ctx, events: events, id: req.AttemptId}, nil
}

// fakeStream returns events in order; a nil event blocks until the context ends.
type fakeStream struct {
	port   *fakePort
	ctx    context.Context
	id     string
	events []*rpc.RunEvent
}

func (s *fakeStream) Recv() (*rpc.RunEvent, error) {
	if err := s.ctx.Err(); err != nil {
		return nil, err
	}
	if len(s.events) == 0 {
		return nil, io.EOF
	}
	e := s.events[0]
	if e == nil {
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	}
	s.events = s.events[1:]
	e.AttemptId = s.id
	return e, nil
}

func (s *fakeStream) Close() error {
	s.port.mu.Lock()
	defer s.port.mu.Unlock()
	s.port.active--
	return nil
}

func delta(text string, n uint32) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: text, Tokens: n}}}
}

func end() *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_End{End: &rpc.End{FinishReason: "stop", OutputTokens: 2}}}
}

func failed(f *rpc.Failed) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: f}}
}

func refused() *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "full"}}}
}

// completeAfter responds to every item after d.
func completeAfter(d time.Duration) func(context.Context, *rpc.RunRequest) []*rpc.RunEvent {
	return func(ctx context.Context, _ *rpc.RunRequest) []*rpc.RunEvent {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return []*rpc.RunEvent{delta("ok", 2), end()}
	}
}

func testContract() *contract.Holder {
	h := &contract.Holder{}
	h.SetIfNewer(&contract.Document{Version: 1, Services: []contract.Service{
		{Name: testModel, Kind: contract.KindEngine, Model: testModel},
		{Name: "orders", Kind: contract.KindPlain, NonRepeatable: []contract.Route{{Method: "POST", Path: "/post"}}},
	}})
	return h
}

// testEntry is a running Runner.
type testEntry struct {
	*Runner
	port       *fakePort
	cancel     context.CancelFunc
	done       chan error
	grantsDone chan struct{} // closed when grant has returned
}

func startEntry(t testing.TB, f storage.Platform, fl *fakeAgents, rank, entries int) *testEntry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := newFakePort(fl)
	e := &testEntry{port: p, cancel: cancel, done: make(chan error, 1), grantsDone: make(chan struct{})}
	e.Runner = NewRunner(RunnerConfig{
		Platform: f, Links: p, Port: p, Contract: testContract(),
		InstanceID: fmt.Sprintf("entry-%d", rank), Rank: func() (int, int) { return rank, entries },
		MemoryBytes: 8 << 20, Log: zerolog.Nop(),
	})
	go func() {
		defer close(e.grantsDone)
		p.grant(ctx)
	}()
	go func() { e.done <- e.Run(ctx) }()
	return e
}

func (e *testEntry) stop(t testing.TB) {
	t.Helper()
	e.cancel()
	<-e.grantsDone
	if err := <-e.done; err != nil {
		t.Error(err)
	}
}

// awaitJob polls until the job has ended, for at most limit of virtual time.
func awaitJob(t testing.TB, s *Store, id string, limit time.Duration) *Job {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if j, err := s.Job(context.Background(), id); err == nil && j.Status.Final() {
			return j
		}
	}
	t.Fatalf("job %s has not ended after %s", id, limit)
	return nil
}

func (f *fakeAgents) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.runs {
		n += k
	}
	return n
}

func (f *fakeAgents) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

func itoa(n int) string { return strconv.Itoa(n) }
