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
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
)

// fleet is a set of agents that entries share: it grants, runs items by answer,
// and counts the runs of each item.
type fleet struct {
	mu     sync.Mutex
	slots  int // of each entry
	answer func(ctx context.Context, req *rpc.RunRequest) []*rpc.RunEvent
	runs   map[string]int // by body
	poll   time.Duration  // between grants
}

func newFleet(slots int) *fleet {
	return &fleet{slots: slots, poll: 10 * time.Millisecond, runs: make(map[string]int)}
}

// port is one entry's access to the fleet.
type port struct {
	fleet     *fleet
	mu        sync.Mutex
	demand    map[string]link.Demand
	active    int
	grants    chan link.Grant
	cancelled chan string
}

func newPort(f *fleet) *port {
	return &port{
		fleet: f, demand: make(map[string]link.Demand),
		grants: make(chan link.Grant), cancelled: make(chan string, 10),
	}
}

func (p *port) SetDemand(service string, d link.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[service] = d
}
func (p *port) Grants() <-chan link.Grant { return p.grants }
func (p *port) AnnounceCancelled(string)  {}
func (p *port) Cancelled() <-chan string  { return p.cancelled }

// grant offers the free slots while there is demand.
func (p *port) grant(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		var offers []link.Grant
		for service, d := range p.demand {
			if n := min(d.Items, p.fleet.slots-p.active); n > 0 {
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
		time.Sleep(p.fleet.poll)
	}
}

func (p *port) Upstreams(service string) []link.Upstream {
	return []link.Upstream{{
		AgentID: "agent-1", Service: service, Connected: true, Incarnation: 7,
		Load: &rpc.LoadReport{AgentTimeMs: 1000}, LoadAt: time.Now(),
	}}
}
func (p *port) Probe(context.Context, string) error { return nil }

func (p *port) Run(ctx context.Context, _ string, req *rpc.RunRequest) (link.Stream, error) {
	p.mu.Lock()
	p.active++
	p.mu.Unlock()
	p.fleet.mu.Lock()
	p.fleet.runs[string(req.Body)]++
	p.fleet.mu.Unlock()
	events := p.fleet.answer(ctx, req)
	return &stream{port: p, ctx: ctx, events: events, id: req.AttemptId}, nil
}

// stream plays events; a nil event waits for the end of the context.
type stream struct {
	port   *port
	ctx    context.Context
	id     string
	events []*rpc.RunEvent
}

func (s *stream) Recv() (*rpc.RunEvent, error) {
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

func (s *stream) Close() error {
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

// completes answers every item after a pause.
func completes(d time.Duration) func(context.Context, *rpc.RunRequest) []*rpc.RunEvent {
	return func(ctx context.Context, _ *rpc.RunRequest) []*rpc.RunEvent {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		return []*rpc.RunEvent{delta("ok", 2), end()}
	}
}

// noSuspects clears everything.
type noSuspects struct{}

func (noSuspects) Status(uint64, time.Time) poison.Status { return poison.Clear }

func testContract() *contract.Holder {
	h := &contract.Holder{}
	h.Offer(&contract.Document{Version: 1, Services: []contract.Service{
		{Name: testModel, Kind: contract.KindEngine, Model: testModel},
		{Name: "orders", Kind: contract.KindPlain, NonRepeatable: []contract.Route{{Method: "POST", Path: "/post"}}},
	}})
	return h
}

// entry is one running Runner of a test.
type entry struct {
	*Runner
	port *port
	kill context.CancelFunc
	done chan error
	over chan struct{} // the grants have ended
}

func startEntry(t testing.TB, f storage.Platform, fl *fleet, rank, entries int) *entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := newPort(fl)
	e := &entry{port: p, kill: cancel, done: make(chan error, 1), over: make(chan struct{})}
	e.Runner = NewRunner(RunnerConfig{
		Platform: f, Links: p, Port: p, Contract: testContract(), Suspects: noSuspects{},
		InstanceID: fmt.Sprintf("entry-%d", rank), Rank: func() (int, int) { return rank, entries },
		MemoryBytes: 8 << 20, Log: zerolog.Nop(),
	})
	go func() {
		defer close(e.over)
		p.grant(ctx)
	}()
	go func() { e.done <- e.Run(ctx) }()
	return e
}

func (e *entry) stop(t testing.TB) {
	t.Helper()
	e.kill()
	<-e.over
	if err := <-e.done; err != nil {
		t.Error(err)
	}
}

// await sleeps until the job has ended, at most for limit of the bubble's time.
func await(t testing.TB, s *Store, id string, limit time.Duration) *Job {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if j, err := s.Job(context.Background(), id); err == nil && j.Status.Final() {
			return j
		}
	}
	t.Fatalf("job %s has not ended after %s", id, limit)
	return nil
}

func (f *fleet) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.runs {
		n += k
	}
	return n
}

func (f *fleet) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

func itoa(n int) string { return strconv.Itoa(n) }
